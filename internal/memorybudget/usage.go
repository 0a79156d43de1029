package memorybudget

// AccountUsage is what one account holds, and how many reservations it was refused.
type AccountUsage struct {
	Account Account
	Bytes   int64
	Refused int64
}

// Usage is what the budget is used for.
type Usage struct {
	Limit    int64 // bytes; 0: no limit
	Accounts []AccountUsage
}

// Usage returns the current usage.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := Usage{Limit: b.quota.Total()}
	for account := range accountCount {
		usage.Accounts = append(usage.Accounts, AccountUsage{Account: account, Bytes: b.quota.Used(int(account)), Refused: b.refused[account]})
	}
	return usage
}

// Refused returns the number of reservations that were refused.
func (u Usage) Refused() int64 {
	sum := int64(0)
	for _, account := range u.Accounts {
		sum += account.Refused
	}
	return sum
}
