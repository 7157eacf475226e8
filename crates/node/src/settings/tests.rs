use serde_json::{Value, json};

use super::*;

fn entry(limits: &Value) -> DirectEntrySettings {
    let mut value = json!({
        "process": { "name": "entry", "store": { "address": "127.0.0.1:1" }, "grace_ms": 3_000 },
        "zone": "a", "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "links": "127.0.0.1:0",
    });
    for (name, limit) in limits.as_object().into_iter().flatten() {
        value[name] = limit.clone();
    }
    serde_json::from_value(value).expect("they are settings")
}

// Guards against limits that exceed the memory or the descriptors of a host.
types::cases! {
    fn limits_follow_from_the_host(limits: Value, bytes: usize, connections: usize, queue: u32) {
        let settings = entry(&limits);
        let mut errors = InvalidFields::default();
        settings.validate(&mut errors);
        assert!(errors.into_vec().is_empty());
        let limits = IntakeLimits { request_bytes: bytes, connections, queue };
        assert_eq!(settings.intake_limits(), limits);
    }
    defaults: (json!({}), 31_457_280, 470, 117),
    large_host: (json!({ "memory_mb": 512, "max_descriptors": 8_192 }), 134_217_728, 2_006, 501),
    few_descriptors: (json!({ "max_descriptors": 256 }), 31_457_280, 128, 32),
}

// Guards against a limit of no connections at all.
types::cases! {
    fn too_small_host_is_rejected(limits: Value) {
        let mut errors = InvalidFields::default();
        entry(&limits).validate(&mut errors);
        assert!(!errors.into_vec().is_empty());
    }
    no_memory: (json!({ "memory_mb": 0 })),
    few_descriptors_only: (json!({ "max_descriptors": 63 })),
}
