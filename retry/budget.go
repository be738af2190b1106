package retry

// Budget bounds the retries of each key to a share of its first attempts.
type Budget[K comparable] struct {
	balances map[K]float64
}

// NewBudget returns a budget in which each key starts with budgetReserve retries.
func NewBudget[K comparable]() *Budget[K] {
	return &Budget[K]{balances: map[K]float64{}}
}

func (b *Budget[K]) balance(k K) float64 {
	balance, ok := b.balances[k]
	if !ok {
		return budgetReserve
	}
	return balance
}

// First counts a first attempt, which adds share retries to the budget, up to budgetBurst.
func (b *Budget[K]) First(k K, share float64) {
	b.balances[k] = min(b.balance(k)+share, max(budgetBurst, b.balance(k)))
}

// Take spends one retry, and reports false if less than one is left.
func (b *Budget[K]) Take(k K) bool {
	balance := b.balance(k)
	if balance < 1 {
		return false
	}
	b.balances[k] = balance - 1
	return true
}
