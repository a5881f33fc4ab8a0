; The season's morning with planners whose demand figures are ten times too high (or, by a sweep, too low).
(bad-day season-wrong
  (deployment "../season.sexp")
  (seconds 90) (workers 60) (dispatchers 30) (planners 1)
  (load (rate 500) (deferred 0) (zipf 0.9) (retries 2) (heed 0.8) (shape diurnal) (period 60) (swing 0.6))
  (load (rate 150) (deferred 0) (zipf 0.3) (retries 2) (heed 0.8) (shape bursts) (burst 3) (quiet 9) (factor 6))
  (trouble planners-wrong (at 0) (for 90) (part 1) (factor 10)))
