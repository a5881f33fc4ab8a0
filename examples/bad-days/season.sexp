; A morning in the season: demand rises and falls by bursts, seven models in ten are released anew, workers roll.
(bad-day season
  (deployment "../season.sexp")
  (seconds 90) (workers 60) (dispatchers 30) (planners 2)
  (load (rate 500) (deferred 0) (zipf 0.9) (retries 2) (heed 0.8) (shape diurnal) (period 60) (swing 0.6))
  (load (rate 150) (deferred 0) (zipf 0.3) (retries 2) (heed 0.8) (shape bursts) (burst 3) (quiet 9) (factor 6))
  (trouble models-voided  (at 40) (for 0) (part 1) (share 0.7))
  (trouble rolling-deploy (at 55) (for 10) (part 0.1)))
