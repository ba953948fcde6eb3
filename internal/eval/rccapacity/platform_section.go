package rccapacity

// platformSection is the section on instances on the users' platform. Its figures are
// from one run of fleetbench and from TestBytesOfNews in rcinstance, or are derived
// from them in the text.
const platformSection = `
## On the platform

The sections above cover the product's own interface. This one covers ` + "`radishcrankd platform`" + `, whose instances all have the same roles, except that one instance is the relay of its availability zone. The figures are from ` + "`fleetbench sweep boxflow-riga-grown.toml`" + ` on 2026-12-04 (journal entry cb3816fe, commit 53ad5f9), which serves about the same traffic with 30, 100 and 300 instances in front of 301, 1,000 and 3,001 upstreams, so that only the cost of control grows. Each cell shows the median instance and the busiest one. The slope is that of the busiest instance between 100 and 300 instances, and the column for 370 extrapolates it; the power laws that the sweep fits give 75.6%, 27.3 MB and 2,290 kB/s at 373.

| per instance | 30 | 100 | 300 | slope per instance | busiest at 370 | budget |
|---|---|---|---|---|---|---|
| processor, % | 4.9, 6.9 | 5.7, 16.4 | 8.6, 61.5 | 0.226 | 77.3 | 2.8% of a core for control |
| memory, MB | 7.9, 9.4 | 8.8, 13.8 | 14.9, 24.9 | 0.0555 | 28.8 | 256 |
| messages, kB/s | 38.1, 249 | 38.4, 715 | 57.6, 1,889 | 5.87 | 2,300 | 3 |
| connections | 54, 113 | 28, 100 | 17, 228 | 0.64 | 273 | |
| time until a configuration is in force, ms | 0 | 0 | 552, 603 | | | 5,000 |
| time until the next order after a kill of the leader, ms | 3,086 | 3,096 | 3,215 | 0.595 | 3,257 | |
| time until requests are served after a kill of all instances, ms | 500 | 4,000 | 8,500 | 22.5 | 10,100 | |

These figures, and the sizes of loads and cached parts in the next table, are from before 7070901. Since then a load takes at most 10 B and a prompt of two shared parts at most 50 B (` + "`TestReportsAreSmall`, `TestBytesOfNews`" + `), and a report that has not changed is sent every 350 ms only; the sweep has not been repeated.

Memory is within its budget. **Processor time and messages of the relays are not**, and the median instance exceeds 3 kB/s at every size, callers' traffic included. The following table lists the roles at the target of 370 instances in 11 zones in front of 5,500 upstreams with 14,000 requests/s. A response of 229 tokens at 37 ms takes 8.5 s, so each instance has 320 requests in flight and each upstream is in use:

| role | mechanism | state | messages | at the target |
|---|---|---|---|---|
| load sender | ` + "`rcinstance`" + `: each instance sends its requests in flight to its relay every 120 ms | one entry for each upstream in use | 49 B per entry | 130 kB/s from each instance: **43 times the budget** |
| load relay | the relay sums the loads and sends the sums to the 33 other instances of its zone | the sums of 11 zones | 49 B for each of 5,500 upstreams | 2.2 MB/s to each instance, 74 MB/s from a relay: **breaks first** |
| location of cached prompt parts | sent to all instances when the first event shows that a part was read, and again after 7.5 s | at most 50,000 parts | 122 B for a prompt of two shared parts | up to 1.7 MB/s to each instance if every prompt is new; the limit of 2,000 per message does not help |
| origins of streams | ` + "`rcorigin`" + `: sent to the relays when the first event is forwarded, for resumable streams | those of one to two minutes | 81 B per stream | up to 1.1 MB/s to each relay if all requests are resumable streams, and 420,000 to 840,000 origins there |
| rate limits | ` + "`rcquota`" + `: slots of the store's clock need no messages; a limit is told when it changes and every second | one entry for each limited upstream | about 100 B | as today |
| rate limits of accounts | ` + "`rclimit.FleetLimiter`" + `: usage within slots of 0.25 s with the other reports; relays add up their zones | 9 KB for each active account | 7 to 10 B for an account and slot | 37 kB/s for the sum of a zone, 110 kB/s from a relay to each instance with three zones and 3,000 active accounts: **37 times the budget** ([trial](design/account-limits.md)) |
| store reader | the relay reads the tables and forwards the changes | one entry for each upstream | the changes, otherwise an empty batch every 0.7 s | 11 readers instead of 370 |
| membership | one row per instance, removed 90 minutes after the instance was last reached | 370 rows, and about 18 of stopped instances if each relay runs for some hours | about 150 B per row | 1,700 restarts per day are 3 B/s to each instance |
| holder of the lease for orders | ` + "`rclease`" + `: one row, sent every 0.7 s so that other instances need not read it | one row | one entry of about 8 B | as today |

To reach the target, loads would have to be sent as differences instead of sums, only for the upstreams that the prompts of a zone can be sent to, and at a rate that a budget of bytes limits. None of this is implemented.
`
