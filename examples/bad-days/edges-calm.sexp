; Thirty edges that follow two planners under a lease, and no fault.
(bad-day edges-calm
  (deployment "../fleet.sexp")
  (seconds 60) (workers 16) (dispatchers 30) (planners 2) (solver greedy)
  (load (rate 240) (deferred 0)))
