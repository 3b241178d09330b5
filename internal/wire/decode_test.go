package wire

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// mirror is what json.Unmarshal makes of settings at one go.
type mirror struct {
	params
	Profiles []profile `json:"profiles"`
	Tenants  []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	} `json:"tenants"`
}

// Read part by part, a text means what json.Unmarshal makes of it, or is no settings to either.
func TestDecoderAgreesWithUnmarshal(t *testing.T) {
	with := func(old, new string) string {
		if !strings.Contains(startText, old) {
			t.Fatalf("no %s", old)
		}
		return strings.Replace(startText, old, new, 1)
	}
	texts := []string{startText, " \n" + startText + "\t\n", startText + "x", startText + "{}", "null", "[]", `""`, "7", "",
		with(`"profiles"`, `"PROFILES"`), with(`"profiles"`, `"\u0070rofiles"`), with(`"balancers":2`, `"Balancers":2`),
		with(`"balancers":2`, `"balancers":"2"`), with(`"balancers":2`, `"balancers":2.5`), with(`"balancers":2`, `"balancers":null`),
		with(`"balancers":2`, `"balancers":1,"balancers":2`), with(`"limits":{`, `"limits":{"max_attempts":9},"limits":{`),
		with(`"unknown_key":`, `"unknown_key":1e999,"x":`), with(`"unknown_key":`, `"unknown_key":[[[{"a":[]}]]],"x":`),
		with(`"unknown_key":{`, `"unknown_key":{"profiles":[1],`), with(`"unknown_key":{`, `"unknown_key":{1`),
		with(`"worth":1}]`, `"worth":1},null]`), with(`"worth":1}]`, `"worth":1},]`), with(`"worth":1}]`, `"worth":"1"}]`),
		with(`"worth":1}]`, `"worth":1}}`), with(`"worth":1}]`, `"worth":1,"WORTH":2,"odd":[{}]}]`), with(`[{"name":"c"`, `[{"name":7`),
		with(`"reporting"`, `"tenants":null,"reporting"`), with(`"reporting"`, `"tenants":[],"reporting"`),
		with(`"reporting"`, `"tenants":{},"reporting"`), with(`"reporting"`, `"tenants":[{"name":"\ud83d\ude00","quota_rps":1e2}],"reporting"`),
		with(`"reporting"`, `"tenants":[[]],"reporting"`), with(`"reporting"`, `"tenants":[{"name":"t"},{"quota_rps":3}],"reporting"`)}
	for n := range len(startText) { // cut off anywhere
		texts = append(texts, startText[:n])
	}
	taken := 0
	for _, text := range texts {
		s, links, err := DecodeSettings([]byte(text))
		var m mirror
		reference := json.Unmarshal([]byte(text), &m)
		_, mode := asks[m.Mode]
		repeats := true
		for _, p := range m.Profiles {
			repeats = repeats && p.Idempotency == "non_idempotent"
		}
		if known := reference == nil && mode && repeats; known != (err == nil) {
			t.Errorf("%s: error %v, of json.Unmarshal %v", text, err, reference)
		} else if !known {
			continue
		}
		taken++
		var got, want []string
		for _, c := range s.Classes {
			got = append(got, fmt.Sprint(c.Name, c.Worth, c.LatencyTarget, c.Deadline))
		}
		for _, p := range m.Profiles {
			want = append(want, fmt.Sprint(p.Name, p.Worth, us(p.Target), us(p.GiveUp)))
		}
		for _, x := range s.Tenants {
			got = append(got, fmt.Sprint(x.Name, x.Quota))
		}
		for _, x := range m.Tenants {
			want = append(want, fmt.Sprint(x.Name, x.Quota))
		}
		got = append(got, fmt.Sprint(s.Zone, s.Balancers, s.Limits.MaxAttempts, s.Limits.Cancel, s.Requirements.ColdCapacity, links))
		want = append(want, fmt.Sprint(m.Zone, m.Balancers, m.Limits.MaxAttempts, m.Limits.Cancel, m.Requirements.ColdCapacity,
			Links{us(m.Limits.KeepAlive), us(m.Limits.ConnectTimeout)}))
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: reads as %v, want %v", text, got, want)
		}
	}
	if taken < 12 {
		t.Errorf("only %d texts are settings", taken)
	}
	for _, list := range []string{"profiles", "tenants"} {
		text := strings.Replace(startText, `"reporting"`, `"`+list+`":[],"`+list+`":[],"reporting"`, 1)
		if _, _, err := DecodeSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), list+" is there twice") {
			t.Errorf("%s twice: %v", list, err)
		}
	}
}
