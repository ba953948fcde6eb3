package rcconfig

import (
	"fmt"
	"reflect"
	"time"
)

// Settings holds the values that the defaults set and exceptions override.
// settingTable describes each field.
type Settings struct {
	BlockTokens        int
	BytesPerToken      int
	RecomputeWeight    float64
	CrossZoneCost      time.Duration
	RequestsPerSecond  float64
	TokensPerSecond    float64
	Concurrency        int
	QueueLength        int
	OvershootFactor    float64
	Priority           int
	FirstTokenDeadline time.Duration
	ProgressTimeout    time.Duration
	StreamTimeout      time.Duration
	MaxBodyBytes       int64
	MaxHeaderBytes     int64
	BodyReadTimeout    time.Duration
	MaxTokens          int
	RetryRatio         float64
	HedgeRatio         float64
	RecordRetention    time.Duration
	ChecksFence        bool
	LeaseDuration      time.Duration
	LeaseMargin        time.Duration
	OrderTimeout       time.Duration
	SnapshotMaxAge     time.Duration
	ShutdownTimeout    time.Duration
}

// DefaultSettings returns the built-in defaults.
func DefaultSettings() Settings { return builtinDefaults }

var builtinDefaults = parseBuiltinDefaults()

// parseBuiltinDefaults parses the defaults of the settings table. It panics if a
// default is invalid, because that is a programming error.
func parseBuiltinDefaults() Settings {
	var s Settings
	for i := range settingTable {
		d := &settingTable[i]
		d.fieldIndex = i
		if err := d.set(&s, d.Default); err != nil {
			panic(fmt.Sprintf("rcconfig: default of setting %s: %v", d.Name, err))
		}
	}
	return s
}

// Setting describes one setting. Default, Min and Max are written as in the
// document; an empty Min or Max means that there is none.
type Setting struct {
	Name    string
	Kind    ValueKind
	Unit    string // Unit of a Count or Number.
	Default string
	Min     string
	Max     string
	Scopes  []ScopeKind // Scopes of the exceptions that may override the setting.
	Doc     string

	fieldIndex int // Index of the field in Settings, whose fields are in table order.
}

// SettingsTable returns the description of every setting, in document order.
func SettingsTable() []Setting { return append([]Setting(nil), settingTable...) }

var settingByName = indexSettings()

func indexSettings() map[string]*Setting {
	m := make(map[string]*Setting, len(settingTable))
	for i := range settingTable {
		m[settingTable[i].Name] = &settingTable[i]
	}
	return m
}

func (d *Setting) field(s *Settings) reflect.Value {
	return reflect.ValueOf(s).Elem().Field(d.fieldIndex)
}

// set parses text, checks the bounds and stores the value in s.
func (d *Setting) set(s *Settings, text string) error {
	v, err := d.Kind.parse(text)
	if err != nil {
		return err
	}
	if err := d.checkBounds(v); err != nil {
		return err
	}
	d.field(s).Set(reflect.ValueOf(v).Convert(d.field(s).Type()))
	return nil
}

func (d *Setting) checkBounds(v any) error {
	if d.Min != "" {
		low, err := d.Kind.parse(d.Min)
		if err != nil {
			return err
		}
		if toFloat64(v) < toFloat64(low) {
			return fmt.Errorf("the value is below the minimum %s", d.Min)
		}
	}
	if d.Max != "" {
		high, err := d.Kind.parse(d.Max)
		if err != nil {
			return err
		}
		if toFloat64(v) > toFloat64(high) {
			return fmt.Errorf("the value is above the maximum %s", d.Max)
		}
	}
	return nil
}

// format returns the value of the setting in s as written in a document.
func (d *Setting) format(s *Settings) string { return d.Kind.format(d.field(s).Interface()) }

// copyTo copies the value of the setting from one Settings to another.
func (d *Setting) copyTo(to, from *Settings) { d.field(to).Set(d.field(from)) }

func (d *Setting) allowsScope(scope ScopeKind) bool {
	for _, k := range d.Scopes {
		if k == scope {
			return true
		}
	}
	return false
}
