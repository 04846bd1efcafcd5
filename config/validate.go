package config

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"birchwood.example/birchwood/zone"
)

var machineIDPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// fileValidator is the validator with this package's additional rules. It
// caches struct metadata and is safe for concurrent use.
var fileValidator = newFileValidator()

func newFileValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(yamlName)
	rules := map[string]func(string) bool{
		"address": func(text string) bool { return checkAddress(text) == nil },
		"zone":    func(text string) bool { return zone.Name(text).Validate() == nil },
		"machine": machineIDPattern.MatchString,
	}
	for name, accept := range rules {
		err := validate.RegisterValidation(name, func(field validator.FieldLevel) bool { return accept(field.Field().String()) })
		if err != nil {
			panic(err) // only an invalid rule name can cause this
		}
	}
	return validate
}

// checkAddress accepts an IP address with a port other than 0.
func checkAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q: want an IP number and a port, such as 127.0.0.1:7101; names are not looked up", text)
	}
	if address.Port() == 0 {
		return fmt.Errorf("%q: want a port from 1 to 65535", text)
	}
	return nil
}

// Validate returns all findings on the values.
func (f *File) Validate() []Finding {
	var findings []Finding
	if err := fileValidator.Struct(f); err != nil {
		for _, violation := range err.(validator.ValidationErrors) {
			path := rootPath + strings.TrimPrefix(violation.Namespace(), "File")
			findings = append(findings, f.source.finding(path, "%s", ruleMessage(violation)))
		}
	}
	findings = append(findings, f.checkSections()...)
	findings = append(findings, f.checkZones()...)
	findings = append(findings, f.checkAddresses()...)
	findings = append(findings, f.checkTimings()...)
	return findings
}

// ruleMessage describes the validator rule that a field violates.
func ruleMessage(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required":
		return "missing"
	case "address":
		return checkAddress(fmt.Sprint(violation.Value())).Error()
	case "zone", "machine":
		return fmt.Sprintf("%q: want lower-case letters, digits and inner hyphens", violation.Value())
	case "unique":
		if violation.Param() == "" {
			return "duplicate item"
		}
		return fmt.Sprintf("two items have the same %s", strings.ToLower(violation.Param()))
	case "oneof":
		return fmt.Sprintf("%q: want one of %s", violation.Value(), violation.Param())
	case "min", "max":
		return boundMessage(violation)
	case "gt":
		return fmt.Sprintf("%v: want more than %s", violation.Value(), violation.Param())
	case "nefield":
		return fmt.Sprintf("%q: must differ from the value of %s", violation.Value(), strings.ToLower(violation.Param()))
	default:
		return fmt.Sprintf("%v: breaks the rule %s %s", violation.Value(), violation.Tag(), violation.Param())
	}
}

func boundMessage(violation validator.FieldError) string {
	bound := map[string]string{"min": "at least", "max": "at most"}[violation.Tag()]
	switch violation.Kind() {
	case reflect.String:
		return fmt.Sprintf("want %s %s characters", bound, violation.Param())
	case reflect.Slice:
		return fmt.Sprintf("want %s %s items", bound, violation.Param())
	default:
		return fmt.Sprintf("%v: want %s %s", violation.Value(), bound, violation.Param())
	}
}

// checkSections reports missing sections: node or standin, and those that node
// requires.
func (f *File) checkSections() []Finding {
	var findings []Finding
	missing := func(path string) { findings = append(findings, f.source.finding(path, "missing")) }
	if f.Node == nil && f.Standin == nil {
		findings = append(findings, f.source.finding(rootPath, "want a section node, for serve, or standin"))
	}
	if f.Node == nil {
		return findings
	}
	if f.Platform == nil {
		missing(rootPath + ".platform")
	}
	if f.PeerToken == "" {
		missing(rootPath + ".peer_token")
	}
	return findings
}

// checkZones reports references to zones that are not in the list of zones.
func (f *File) checkZones() []Finding {
	known := map[zone.Name]bool{}
	for _, zone := range f.Zones {
		known[zone.Name] = true
	}
	var findings []Finding
	check := func(name zone.Name, path string) {
		if name != "" && !known[name] {
			findings = append(findings, f.source.finding(path, "zone %q is not in the list of zones", string(name)))
		}
	}
	if f.Node != nil {
		check(f.Node.Zone, "$.node.zone")
	}
	for index, pair := range f.Links.Pairs {
		check(pair.From, fmt.Sprintf("$.links.pairs[%d].from", index))
		check(pair.To, fmt.Sprintf("$.links.pairs[%d].to", index))
	}
	if f.Standin != nil {
		check(f.Standin.PlatformZone, "$.standin.platform_zone")
		for index, engine := range f.Standin.Engines {
			check(engine.Zone, fmt.Sprintf("$.standin.engines[%d].zone", index))
		}
		for index, service := range f.Standin.Tools {
			check(service.Zone, fmt.Sprintf("$.standin.tools[%d].zone", index))
		}
	}
	return findings
}

// checkAddresses reports listeners that share an address.
func (f *File) checkAddresses() []Finding {
	var findings []Finding
	pathByAddress := map[string]string{}
	listen := func(address, path string) {
		if address == "" {
			return
		}
		if earlier, used := pathByAddress[address]; used {
			findings = append(findings, f.source.finding(path, "address %s is also that of %s", address, earlier))
			return
		}
		pathByAddress[address] = path
	}
	if f.Node != nil {
		listen(f.Node.Listen, "$.node.listen")
		listen(f.Node.Operator, "$.node.operator")
		findings = append(findings, f.checkAdvertise()...)
	}
	if f.Standin != nil {
		listen(f.Standin.Platform, "$.standin.platform")
		listen(f.Standin.Control, "$.standin.control")
		for index, engine := range f.Standin.Engines {
			listen(engine.Address, fmt.Sprintf("$.standin.engines[%d].address", index))
		}
		for index, service := range f.Standin.Tools {
			listen(service.Address, fmt.Sprintf("$.standin.tools[%d].address", index))
		}
	}
	return findings
}

// checkAdvertise reports an unspecified address, to which peers cannot connect.
func (f *File) checkAdvertise() []Finding {
	path := "$.node.advertise"
	if f.Node.Advertise == "" {
		path = "$.node.listen"
	}
	address, err := netip.ParseAddrPort(f.Node.Address())
	if err != nil || !address.Addr().IsUnspecified() {
		return nil
	}
	return []Finding{f.source.finding(path, "%q: peers cannot connect to the unspecified address; set node.advertise", f.Node.Address())}
}

// checkTimings reports timings that contradict each other.
func (f *File) checkTimings() []Finding {
	var findings []Finding
	if f.Timings.SettingsFreshness < 2*f.Timings.SettingsPoll {
		findings = append(findings, f.source.finding("$.timings.settings_freshness",
			"%v: want at least two settings_poll, %v, or a healthy node counts as stale", f.Timings.SettingsFreshness, 2*f.Timings.SettingsPoll))
	}
	if f.Timings.ProbeTimeout >= f.Timings.ProbePeriod {
		findings = append(findings, f.source.finding("$.timings.probe_timeout",
			"%v: want less than probe_period, %v", f.Timings.ProbeTimeout, f.Timings.ProbePeriod))
	}
	return findings
}
