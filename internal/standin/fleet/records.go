package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"fireflyshift/internal/record"
)

// KeyHash returns the hash of an API key that a workspace record contains.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newRecord(kind record.Kind, name string, schema uint32, body any) record.Raw {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return record.Raw{Kind: kind, Name: name, Schema: schema, Body: data}
}

// M is a JSON object.
type M = map[string]any

// Tier returns a tier record in schema version 1.
func Tier(name string, priority, reservePercent, deadlineMS int) record.Raw {
	return newRecord(record.KindTier, name, 1, M{"priority": priority, "reserve_percent": reservePercent, "deadline_ms": deadlineMS})
}

// Workspace returns a workspace record in schema version 1.
func Workspace(name, key string, tiers []string, weight float64) record.Raw {
	return newRecord(record.KindWorkspace, name, 1, M{"key_sha256": []string{KeyHash(key)}, "tiers": tiers, "weight": weight})
}

// WorkspaceV2 returns a workspace record in schema version 2.
func WorkspaceV2(name, key string, tiers []string, sharePercent float64) record.Raw {
	return newRecord(record.KindWorkspace, name, 2, M{"keys": []M{{"sha256": KeyHash(key)}},
		"grants": M{"tiers": tiers, "share_percent": sharePercent}})
}

// Service returns a service record in schema version 1.
func Service(name string, kind record.ServiceKind, policy, tier string) record.Raw {
	return newRecord(record.KindService, name, 1, M{"kind": kind, "policy": policy, "default_tier": tier})
}

// Backend returns a backend server's record in schema version 1.
func Backend(name, service, zone, addr string, slots int, state string) record.Raw {
	return newRecord(record.KindBackend, name, 1, M{"service": service, "zone": zone, "addr": addr, "slots": slots,
		"state": state, "suspend": true})
}

// BackendV2 returns a backend server's record in schema version 2.
func BackendV2(name, service, zone, addr string, slots int) record.Raw {
	ip, port, _ := strings.Cut(addr, ":")
	var n int
	_, _ = fmt.Sscan(port, &n)
	return newRecord(record.KindBackend, name, 2, M{"serves": service, "location": M{"zone": zone, "ip": ip, "port": n},
		"capacity": M{"concurrent": slots}, "features": []string{"suspend"}})
}
