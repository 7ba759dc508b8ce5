package admission

import "math"

// Unlimited is the rate of an upstream that states no rate limit.
var Unlimited = math.Inf(1)
