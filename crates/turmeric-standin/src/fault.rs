//! Faults that a control path switches on and off.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::http::StatusCode;
use serde::{Deserialize, Serialize};

/// How a stand-in misbehaves.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct FaultPlan {
    /// Refuse every call with status 503.
    pub(crate) down: bool,
    /// Accept calls and never answer them.
    pub(crate) silent: bool,
    /// Wait this long before each answer, in milliseconds.
    pub(crate) delay_millis: u64,
    /// Apply this share of the writes and drop their answers, in percent.
    pub(crate) lose_percent: u64,
    /// Fail every task or request that starts.
    pub(crate) fail_starts: bool,
    /// State of the generator that decides which answers are lost.
    pub(crate) seed: u64,
}

/// The faults in force, shared by all handlers of a stand-in.
#[derive(Clone, Default)]
pub(crate) struct FaultSwitch {
    plan: Arc<Mutex<FaultPlan>>,
}

impl FaultSwitch {
    pub(crate) fn set(&self, plan: FaultPlan) {
        *self.plan.lock().unwrap_or_else(PoisonError::into_inner) = plan;
    }

    pub(crate) fn plan(&self) -> FaultPlan {
        self.plan
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Applies the faults that come before an operation.
    pub(crate) async fn before(&self) -> Result<(), (StatusCode, String)> {
        let plan = self.plan();
        if plan.silent {
            std::future::pending::<()>().await;
        }
        if plan.delay_millis > 0 {
            tokio::time::sleep(Duration::from_millis(plan.delay_millis)).await;
        }
        if plan.down {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "down".to_owned()));
        }
        Ok(())
    }

    /// Returns after an applied write, unless its answer is to be lost; then it never returns.
    pub(crate) async fn after_write(&self) {
        let is_lost = {
            let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
            plan.seed = plan
                .seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (plan.seed >> 33) % 100 < plan.lose_percent
        };
        if is_lost {
            std::future::pending::<()>().await;
        }
    }
}
