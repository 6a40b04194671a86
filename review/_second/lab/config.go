package main

// smallConfig is a configuration like that of a small deployment; its argument is the version. The tenant has no limit, so that no
// answer of 429 hides what the cases look for.
const smallConfig = `{"version":%d,"routes":[
{"name":"calib-log-review","host":"h.example","path_prefix":"/review/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1200,"gap_aim_ms":400,"service":"kernel-assist","max_attempts":1,"priority":1,"sticky":true},
{"name":"quality-note","host":"h.example","path_prefix":"/note/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"gap_aim_ms":400,"service":"kernel-assist","max_attempts":2,"priority":0,"resumable":true,"sticky":true},
{"name":"lot-release","host":"h.example","path_prefix":"/release/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":"lot-ledger","max_attempts":1,"priority":2},
{"name":"stock-lookup","host":"h.example","path_prefix":"/stock/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"service":"lot-ledger","max_attempts":2,"priority":2}],
"services":[{"name":"kernel-assist","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":581376}},{"name":"lot-ledger","health_path":"/healthz","max_conns":110}],
"limits":{"max_header_bytes":65536,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w","api_keys":["key-of-tenant-w"],"unit":"token_count","plain_tokens":200}]}`
