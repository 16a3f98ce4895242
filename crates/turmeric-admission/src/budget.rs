//! A budget that limits retries to a small share of the requests.

/// Retries earned by one request, in thousandths of a retry.
const EARNED_PER_REQUEST: u64 = 100;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1000;

/// Upper limit of the balance, in thousandths of a retry.
const BALANCE_LIMIT: u64 = 10 * RETRY_COST;

/// Limits the retries of a caller or an entry.
///
/// Ten requests earn one retry, so retries add at most a tenth to the load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Remaining retries, in thousandths of a retry.
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget that holds one retry.
    pub fn new() -> Self {
        Self {
            balance: RETRY_COST,
        }
    }

    /// Records the first attempt of a request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(BALANCE_LIMIT);
    }

    /// Takes one retry from the budget; returns `false` if there is none left.
    pub fn spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
