; How far away the last ones may be told to come back, after all workers hang.
(experiment sweep-return
  (script "../bad-days/storm.sexp")
  (seeds 1 2 3)
  (variant damped)
  (sweep storm.longest-return-ms 2000 4000 8000 12000 20000))
