; Many small dispatchers, one in each client's process: reads, holds that drop repeats, grants that run once only.
; One send at a time; workers load what they lack only by order.
(deployment windows
  (halls east west south)
  (type read  (effect repeatable)   (target-ms 900) (timeout-ms 2800) (utility 2) (late-share 0.2))
  (type hold  (effect deduplicated) (target-ms 900) (timeout-ms 2800) (utility 3) (late-share 0.2)
              (scope all) (remembered-ms 7000))
  (type grant (effect once-only)    (target-ms 900) (timeout-ms 2800) (utility 6) (late-share 0.1))
  (namespace programme (uuid "5c3b4a52-55a0-4b0e-9f7e-0a4a6c1d0011") (key "loopback-only-p") (allowed-per-s 200))
  (action read  (type read)  (count 60) (memory-mb 450) (lanes 1) (work-ms 180) (load-ms 700))
  (action hold  (type hold)  (count 25) (memory-mb 500) (lanes 1) (work-ms 140) (load-ms 650))
  (action grant (type grant) (count 20) (memory-mb 550) (lanes 1) (work-ms 140) (load-ms 600))
  (rules (drain-grace-ms 400) (tip 2.5) (tip-ms 3000) (cold-share 0.2) (cold-ms 15000)
         (free-loads 4) (load-share 0.25) (load-span-ms 6000))
  (dispatcher (parallel no) (keep-ms 9000) (longest-return-ms 700))
  (fleet (workers 11) (cores 4) (memory-mb 7000) (keep-ms 9000) (loads 4) (queue 48))
  (store (fetches 10) (most 40) (fetch-share 0.55)))
