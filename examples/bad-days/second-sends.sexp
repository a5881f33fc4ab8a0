; Workers that hang, lose answers and work slowly for a part of their calls: where a second send helps, and where it
; must not add to the overload.  `bench/hedged_requests.py` runs it with and without hedges and retries.
(bad-day second-sends
  (deployment "../hedged.sexp")
  (seconds 40) (workers 6) (dispatchers 2)
  (load (rate 120) (deferred 0) (zipf 0.8) (retries 0))
  (trouble answers-lost (at 4)  (for 8) (part 0.34) (share 0.1))
  (trouble heavy-work   (at 14) (for 6) (part 0.17) (factor 12))
  (trouble hang         (at 22) (for 5) (part 0.17))
  (trouble silent       (at 29) (for 4) (part 0.17))
  (load (rate 600) (at 34) (for 4) (deferred 0) (zipf 0.8) (retries 0)))   ; more than they can serve
