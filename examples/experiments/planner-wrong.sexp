; What planners do whose demand figures are ten times too low or too high, beside right ones and none.
(experiment planner-wrong
  (script "../bad-days/season-wrong.sexp")
  (seeds 1 2)
  (variant none (set script.planners 0))
  (variant right (set trouble.factor 1))
  (variant tenth (set trouble.factor 0.1))
  (variant tenfold (set trouble.factor 10)))
