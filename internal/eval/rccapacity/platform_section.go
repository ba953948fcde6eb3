package rccapacity

// onPlatform is the section on the instances of the users' platform. Its figures
// are those of one run of the bench and of TestBytesOfNews in rcinstance, and what
// the text works out from them.
const onPlatform = `
## On the platform

The sections above are about the product's own interface. This one is about ` + "`radishcrankd platform`" + `, of which all instances are alike: what differs is the instance that is the relay of its availability zone. The figures are of ` + "`fleetbench sweep boxflow-riga-grown.toml`" + ` on 2026-12-04 (journal entry cb3816fe, commit 53ad5f9), which serves about the same traffic with 30, 100 and 300 instances before 301, 1,000 and 3,001 upstreams, so what grows is control. Each cell is the middle instance and the busiest one. The slope is that of the busiest between 100 and 300 instances, and the last column carries it on to 370; the sweep's own power laws give 75.6%, 27.3 MB and 2,290 kB/s at 373.

| of one instance | 30 | 100 | 300 | slope per instance | busiest at 370 | budget |
|---|---|---|---|---|---|---|
| processor, % | 4.9, 6.9 | 5.7, 16.4 | 8.6, 61.5 | 0.226 | 77.3 | 2.8% of a core for control |
| memory, MB | 7.9, 9.4 | 8.8, 13.8 | 14.9, 24.9 | 0.0555 | 28.8 | 256 |
| messages, kB/s | 38.1, 249 | 38.4, 715 | 57.6, 1,889 | 5.87 | 2,300 | 3 |
| connections | 54, 113 | 28, 100 | 17, 228 | 0.64 | 273 | |
| configuration in force, ms | 0 | 0 | 552, 603 | | | 5,000 |
| order after the leader was killed, ms | 3,086 | 3,096 | 3,215 | 0.595 | 3,257 | |
| serving after all were killed, ms | 500 | 4,000 | 8,500 | 22.5 | 10,100 | |

Memory fits. **Processor time and messages of the relays do not**, and the middle instance exceeds 3 kB/s at every size, callers' traffic included. By role, at the target of 370 instances in 11 zones before 5,500 upstreams with 14,000 requests/s; an answer of 229 tokens at 37 ms takes 8.5 s, so 320 exchanges are under way at an instance and each upstream is in use:

| role | mechanism | state | messages | at the target |
|---|---|---|---|---|
| teller of loads | ` + "`rcinstance`" + `: each instance tells its relay, every 120 ms, what it has under way | one entry for each upstream in use | 49 B an entry | 130 kB/s of an instance: **43 times the budget** |
| relay of loads | the relay adds up and tells the 33 others of its zone the sums | the sums of 11 zones | 49 B for each of 5,500 upstreams | 2.2 MB/s to each instance, 74 MB/s of a relay: **breaks first** |
| holders of prompt parts | told to all when the first event shows that a part was read, again after 7.5 s | 50,000 parts at most | 122 B for a prompt of two shared parts | up to 1.7 MB/s to each instance if every prompt were news; the bound of 2,000 a message does not help |
| follower of the store | the relay reads the tables and passes on what changed | one entry for each upstream | what changed, an empty batch each 0.7 s otherwise | 11 readers instead of 370 |
| members | one row an instance, removed 90 minutes after it was last reached | 370 rows, and about 18 of gone instances if each relay lives for some hours | about 150 B a row | 1,700 restarts a day are 3 B/s to each instance |
| holder of the lease of orders | ` + "`rclease`" + `: one row, told every 0.7 s so that others need not read it | one row | an entry of 8 B or so | as today |

What would have to change for the target: loads as differences instead of sums, only of the upstreams that a zone's prompts can go to, and at a pace that a budget of bytes sets. None of that is built.
`
