; Seven dispatchers in three halls: each deferred call is held by two more before its client is promised anything.
(deployment copies
  (halls north middle south)

  (type check    (effect repeatable)   (target-ms 800)  (timeout-ms 12000) (utility 2) (late-share 0.3))
  (type activate (effect deduplicated) (target-ms 800)  (timeout-ms 12000) (utility 5) (late-share 0.3)
                 (scope all) (remembered-ms 12000))
  (type grant    (effect once-only)    (target-ms 1000) (timeout-ms 12000) (utility 6))

  ; A key for trying out on loopback; give each real namespace a secret of its own.
  (namespace families (uuid "23bc46b1-71f6-4ed5-8c54-816aa4f8c502")
                      (key "try-this-key-on-loopback-only") (allowed-per-s 200))

  (action place-check    (package places) (type check)    (memory-mb 400) (lanes 4) (work-ms 150) (load-ms 400))
  (action place-activate (package places) (type activate) (memory-mb 400) (lanes 4) (work-ms 150) (load-ms 400))
  (action grant          (type grant)     (memory-mb 400) (lanes 4) (work-ms 150) (load-ms 400))

  (rules (drain-grace-ms 500) (tip 3) (tip-ms 3000) (cold-share 0.3) (cold-ms 5000)
         (free-loads 6) (load-share 0.3) (load-span-ms 10000))
  (dispatcher (keep-ms 8000) (longest-return-ms 1000))
  (fleet (workers 4) (cores 8) (memory-mb 6000) (keep-ms 8000) (loads 4))
  (store (fetches 8) (most 32) (fetch-share 0.6))

  (peers (peer dispatcher-0) (peer dispatcher-1) (peer dispatcher-2) (peer dispatcher-3) (peer dispatcher-4)
         (beat-ms 200) (silent-ms 1000) (copies 2) (take-ms 1000) (slow-ms 1000))
  (leases (voters dispatcher-0 dispatcher-1 dispatcher-2 dispatcher-3 dispatcher-4)
          (length-ms 1500) (longest-ms 1500) (clock-bound 0.01) (ask-ms 120) (usage-ms 0)))
