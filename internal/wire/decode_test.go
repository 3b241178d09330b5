package wire

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// unmarshalledSettings is the settings object as decoded by json.Unmarshal.
type unmarshalledSettings struct {
	settingsJSON
	Profiles []classJSON `json:"profiles"`
	Tenants  []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	} `json:"tenants"`
}

// TestDecoderAgreesWithUnmarshal compares incremental decoding with json.Unmarshal: both accept the same
// texts, with the same values.
func TestDecoderAgreesWithUnmarshal(t *testing.T) {
	replace := func(old, new string) string {
		if !strings.Contains(settingsText, old) {
			t.Fatalf("settingsText does not contain %s", old)
		}
		return strings.Replace(settingsText, old, new, 1)
	}
	texts := []string{settingsText, " \n" + settingsText + "\t\n", settingsText + "x", settingsText + "{}",
		"null", "[]", `""`, "7", "",
		replace(`"profiles"`, `"PROFILES"`), replace(`"profiles"`, `"\u0070rofiles"`),
		replace(`"balancers":2`, `"Balancers":2`),
		replace(`"balancers":2`, `"balancers":"2"`), replace(`"balancers":2`, `"balancers":2.5`),
		replace(`"balancers":2`, `"balancers":null`),
		replace(`"balancers":2`, `"balancers":1,"balancers":2`),
		replace(`"limits":{`, `"limits":{"max_attempts":9},"limits":{`),
		replace(`"unknown_key":`, `"unknown_key":1e999,"x":`), replace(`"unknown_key":`, `"unknown_key":[[[{"a":[]}]]],"x":`),
		replace(`"unknown_key":{`, `"unknown_key":{"profiles":[1],`), replace(`"unknown_key":{`, `"unknown_key":{1`),
		replace(`"worth":1}]`, `"worth":1},null]`), replace(`"worth":1}]`, `"worth":1},]`),
		replace(`"worth":1}]`, `"worth":"1"}]`),
		replace(`"worth":1}]`, `"worth":1}}`), replace(`"worth":1}]`, `"worth":1,"WORTH":2,"odd":[{}]}]`),
		replace(`[{"name":"c"`, `[{"name":7`),
		replace(`"reporting"`, `"tenants":null,"reporting"`), replace(`"reporting"`, `"tenants":[],"reporting"`),
		replace(`"reporting"`, `"tenants":{},"reporting"`),
		replace(`"reporting"`, `"tenants":[{"name":"\ud83d\ude00","quota_rps":1e2}],"reporting"`),
		replace(`"reporting"`, `"tenants":[[]],"reporting"`),
		replace(`"reporting"`, `"tenants":[{"name":"t"},{"quota_rps":3}],"reporting"`)}
	for n := range len(settingsText) { // truncated at each byte
		texts = append(texts, settingsText[:n])
	}
	accepted := 0
	for _, text := range texts {
		s, timeouts, err := DecodeSettings([]byte(text))
		var unmarshalled unmarshalledSettings
		unmarshalErr := json.Unmarshal([]byte(text), &unmarshalled)
		_, knownMode := pollByMembershipMode[unmarshalled.MembershipMode]
		allNonIdempotent := true
		for _, p := range unmarshalled.Profiles {
			allNonIdempotent = allNonIdempotent && p.Idempotency == "non_idempotent"
		}
		if valid := unmarshalErr == nil && knownMode && allNonIdempotent; valid != (err == nil) {
			t.Errorf("%s: error %v, but json.Unmarshal returned %v", text, err, unmarshalErr)
		} else if !valid {
			continue
		}
		accepted++
		var got, want []string
		for _, c := range s.Classes {
			got = append(got, fmt.Sprint(c.Name, c.Worth, c.LatencyTarget, c.Deadline))
		}
		for _, p := range unmarshalled.Profiles {
			want = append(want, fmt.Sprint(p.Name, p.Worth, microseconds(p.Target), microseconds(p.TotalTimeout)))
		}
		for _, x := range s.Tenants {
			got = append(got, fmt.Sprint(x.Name, x.Quota))
		}
		for _, x := range unmarshalled.Tenants {
			want = append(want, fmt.Sprint(x.Name, x.Quota))
		}
		got = append(got, fmt.Sprint(s.Zone, s.Balancers, s.Limits.MaxAttempts, s.Limits.Cancel,
			s.Requirements.ColdCapacity, timeouts))
		want = append(want, fmt.Sprint(unmarshalled.Zone, unmarshalled.Balancers,
			unmarshalled.Limits.MaxAttempts, unmarshalled.Limits.Cancel,
			unmarshalled.Requirements.ColdCapacity,
			ConnTimeouts{microseconds(unmarshalled.Limits.IdleTimeout), microseconds(unmarshalled.Limits.ConnectTimeout)}))
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: decoded as %v, want %v", text, got, want)
		}
	}
	if accepted < 12 {
		t.Errorf("only %d texts were accepted, want at least 12", accepted)
	}
	for _, list := range []string{"profiles", "tenants"} {
		text := strings.Replace(settingsText, `"reporting"`, `"`+list+`":[],"`+list+`":[],"reporting"`, 1)
		if _, _, err := DecodeSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), list+" is set twice") {
			t.Errorf("repeated %s: error %v", list, err)
		}
	}
}
