package emulator

// Settings is the platform configuration for proxies that use the emulators. Its classes of requests are footage, whose
// objects are cached until they are purged, lookup, whose objects are cached for 20 s, and charge, whose writes have
// idempotency keys. The zones are hub and edge, and the proxy is in edge. The classes of endpoints are std (caches),
// parent and origin.
const Settings = `{"classes":[
{"name":"footage","on-time-ms":500,"deadline-ms":6000,"worth":2,"aim-stretch":2,"idempotency":"repeatable"},
{"name":"lookup","on-time-ms":250,"deadline-ms":3000,"worth":1,"aim-stretch":2,"idempotency":"repeatable"},
{"name":"charge","on-time-ms":700,"deadline-ms":3000,"worth":3,"idempotency":"by_key","group":"all","window-ms":3000}],
"n-instances":1,"ordinal":0,"zone":1,"dcs":["hub","edge"],"machine-types":["std","parent","origin"],"weights":"rough",
"family-info":{"shield-kind":1,"master-kind":2,"max-age-ms":[0,20000,0],"stale-for-ms":[0,10000,0],
"uncached":[false,false,true],"instances-by-zone":[0,1],"pass-through-ok":true,"peers-fill":"any","detail":"all",
"one-flow-kb-per-s":9500,"purge-slack-ms":300,"purge-takes-ms":6000},
"limits":{"attempts-cap":6,"cancelling":true,"may-probe":true,"second-copies":false,"streams-per-conn":32,
"dial-timeout-ms":400,"conn-idle-ms":30000,"retry-after":true,"max-retry-after-ms":500,"open-cap":20000},
"safety":{"drain-grace-ms":1000,"answer-slack-ms":8}}`
