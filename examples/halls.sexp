; A large place in three halls: reads that may run again beside writes that carry a mark against repeats,
; two networks with shares, large models that load through one store.
(deployment halls
  (halls hall-1 hall-2 hall-3)
  (type lookup (effect repeatable)   (target-ms 400) (timeout-ms 4500) (utility 1) (late-share 0.25))
  (type settle (effect deduplicated) (target-ms 400) (timeout-ms 4500) (utility 3) (late-share 0.25)
               (scope all) (remembered-ms 6000))
  (namespace network-a (uuid "5c3b4a52-55a0-4b0e-9f7e-0a4a6c1d0001") (key "loopback-only-a") (allowed-per-s 150))
  (namespace network-b (uuid "5c3b4a52-55a0-4b0e-9f7e-0a4a6c1d0002") (key "loopback-only-b") (allowed-per-s 90))
  (action lookup (package models) (type lookup) (count 40) (memory-mb 2500) (lanes 4) (work-ms 90) (load-ms 1200))
  (action settle (package models) (type settle) (count 40) (memory-mb 3000) (lanes 2) (work-ms 90) (load-ms 1100))
  (rules (drain-grace-ms 400) (tip 3) (tip-ms 3000) (cold-share 0.25) (cold-ms 12000)
         (free-loads 8) (load-share 0.25) (load-span-ms 8000))
  (dispatcher (keep-ms 9000) (longest-return-ms 800))
  (fleet (workers 10) (cores 4) (memory-mb 48000) (keep-ms 9000) (loads 4) (queue 96))
  (store (fetches 10) (most 48) (fetch-share 0.65)))
