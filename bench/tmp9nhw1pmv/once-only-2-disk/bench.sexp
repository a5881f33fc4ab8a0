(deployment bench
  (type t (effect once-only) (target-ms 5000) (timeout-ms 10000))
  (namespace n (uuid "00000000-0000-0000-0000-000000000001") (key "k"))
  (action f (type t) (memory-mb 1) (lanes 64) (count 2))
  (rules (cold-ms 0) (free-loads 1000))
  (dispatcher (records 200000) (records-mb 2000))
  (peers (peer d0) (peer d1) (peer d2) (beat-ms 200) (silent-ms 1500) (copies 2) (copies-in disk))
  (leases (voters d0 d1 d2) (length-ms 2000) (longest-ms 2000) (usage-ms 0)))
