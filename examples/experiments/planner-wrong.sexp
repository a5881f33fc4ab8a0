; What a planner does whose demand figures are wrong by a factor, beside none.
(experiment planner-wrong
  (script "../bad-days/season-wrong.sexp")
  (seeds 1 2 3)
  (variant none (set script.planners 0))
  (variant program)
  (sweep trouble.factor 0.1 1 10))
