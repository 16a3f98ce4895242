//! A budget that keeps retries to a small share of the requests.

/// Retries earned by one request, in thousandths of a retry.
const EARNED_PER_REQUEST: u64 = 100;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1000;

/// Most retries that can be saved up, in thousandths of a retry.
const BALANCE_LIMIT: u64 = 10 * RETRY_COST;

/// Retries that a caller or an entry may still make.
///
/// Ten requests earn one retry, so retries add at most a tenth to the load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
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

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(BALANCE_LIMIT);
    }

    /// Takes one retry; returns whether there was one to take.
    pub fn spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
