; Thirty edges that follow two planners under a lease; planners are killed, paused and cut off in turn.
(bad-day edges
  (deployment "../fleet.sexp")
  (seconds 60) (workers 16) (dispatchers 30) (planners 2) (solver greedy)
  (load (rate 240) (deferred 0))
  (trouble kill-planners  (at 12) (for 3) (part 0.5))
  (trouble pause-planners (at 22) (for 5) (part 0.5))
  (trouble cut-planners   (at 32) (for 5) (part 0.5))
  (trouble cut-planners   (at 42) (for 5) (part 0.5) (one-way yes))
  (trouble kill-planners  (at 51) (for 3) (part 1)))
