//! Policies of the scheduler, each with its variants.
//!
//! A variant is one algorithm for a decision. It has a name, so that a settings file can
//! choose it and a comparison of two files can measure it. The default did best in the
//! comparisons of `docs/design/`.

use std::collections::BTreeMap;
use std::fmt;

use turmeric_types::FindingList;

/// Error for a variant that a policy does not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyError {
    name: String,
    variants: &'static [&'static str],
}

impl fmt::Display for PolicyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "\"{}\" is not a variant of this policy; its variants are {}",
            self.name,
            self.variants.join(", ")
        )
    }
}

impl std::error::Error for PolicyError {}

/// Declares policies, with the names of their variants.
macro_rules! policies {
    ($(
        $(#[$doc:meta])*
        $policy:ident { $( $(#[$variant_doc:meta])* $variant:ident = $name:literal, )+ }
    )+) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
            pub enum $policy {
                $( $(#[$variant_doc])* $variant, )+
            }

            impl $policy {
                /// Names of all variants.
                pub const NAMES: &'static [&'static str] = &[$($name),+];
            }

            impl fmt::Display for $policy {
                fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                    formatter.write_str(match self {
                        $( Self::$variant => $name, )+
                    })
                }
            }

            impl std::str::FromStr for $policy {
                type Err = PolicyError;

                fn from_str(text: &str) -> Result<Self, PolicyError> {
                    match text {
                        $( $name => Ok(Self::$variant), )+
                        _ => Err(PolicyError { name: text.to_owned(), variants: Self::NAMES }),
                    }
                }
            }
        )+
    };
}

/// Declares the set of all policies, with the name of each in a settings file.
macro_rules! policy_set {
    ($( $(#[$doc:meta])* $field:ident: $policy:ident = $name:literal, )+) => {
        /// The variant chosen for each policy.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct PolicySet {
            $( $(#[$doc])* pub $field: $policy, )+
        }

        impl PolicySet {
            /// Names of all policies.
            pub const NAMES: &'static [&'static str] = &[$($name),+];

            /// Creates the set in which the named policies have the named variants, and all
            /// others their defaults.
            ///
            /// # Errors
            ///
            /// Returns all unknown policies and variants together.
            pub fn from_names(names: &BTreeMap<String, String>) -> Result<Self, FindingList> {
                let mut set = Self::default();
                let mut findings = FindingList::new();
                for (policy, variant) in names {
                    match policy.as_str() {
                        $( $name => {
                            if let Some(variant) = findings.collect(policy.clone(), variant.parse()) {
                                set.$field = variant;
                            }
                        } )+
                        _ => findings.push(
                            policy.clone(),
                            format!("no such policy; the policies are {}", Self::NAMES.join(", ")),
                        ),
                    }
                }
                findings.into_result(Some(set))
            }
        }

        impl fmt::Display for PolicySet {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                let variants = [$( format!("{} {}", $name, self.$field) ),+];
                formatter.write_str(&variants.join(", "))
            }
        }
    };
}

policies! {
    /// Which waiting work counts in the queueing delays by which jobs are admitted.
    AdmissionAccount {
        /// The work of tasks that reserve processors.
        #[default]
        ReservedWork = "reserved-work",
        /// The work of all tasks; a queue of priority 0 is admitted to by reserved work.
        AllWork = "all-work",
    }

    /// Whether serving tasks are moved together, so that other VMs have none.
    ConsolidationPolicy {
        /// Serving tasks stay where they are.
        None = "none",
        /// A VM is cleared when its serving tasks fit on VMs that have others.
        #[default]
        ClearVms = "clear-vms",
    }

    /// In which order jobs of equal tier and priority are placed.
    JobOrder {
        /// The job with the least work that is not placed yet first.
        #[default]
        LeastWork = "least-work",
        /// Jobs that have begun and have little slack left first, then the least work;
        /// overdue jobs by age.
        SlackAndAge = "slack-and-age",
    }

    /// In which order long-running jobs of equal rank are placed.
    LongRunningOrder {
        /// The job with the least work first.
        LeastWork = "least-work",
        /// The job that needs the most VMs first, because of a limit of tasks on each.
        #[default]
        WidestFirst = "widest-first",
    }

    /// Whether long-running tasks that have been interrupted get what is free before all others.
    LongRunningRestart {
        /// They are ranked like tasks that have never run.
        AsNew = "as-new",
        /// They get it before all others.
        #[default]
        First = "first",
    }

    /// When a long-running job that has arrived is placed.
    LongRunningStart {
        /// At once.
        AtOnce = "at-once",
        /// After a moment, together with others that arrive meanwhile.
        #[default]
        Gathered = "gathered",
    }

    /// Whose headroom the pace of best-effort tasks keeps.
    PacingPolicy {
        /// The mean of the tasks of a serving step.
        Mean = "mean",
        /// The mean, and that of each single task.
        #[default]
        EachTask = "each-task",
    }

    /// Whether running tasks are stopped in favour of waiting ones.
    PreemptionPolicy {
        /// Tasks run to their end.
        #[default]
        None = "none",
        /// Best-effort tasks of overdue jobs are stopped for waiting tasks in time.
        Overdue = "overdue",
    }

    /// When a job of which no task runs may interfere with serving tasks.
    StarvationPolicy {
        /// Whenever it has waited long enough.
        Always = "always",
        /// Only while less than half of the service's processors are reserved.
        #[default]
        BelowHalfUse = "below-half-use",
    }
}

policy_set! {
    /// Which waiting work counts in the queueing delays by which jobs are admitted.
    admission_account: AdmissionAccount = "admission-account",
    /// Whether serving tasks are moved together, so that other VMs have none.
    consolidation: ConsolidationPolicy = "consolidation",
    /// In which order jobs of equal tier and priority are placed.
    job_order: JobOrder = "job-order",
    /// In which order long-running jobs of equal rank are placed.
    long_running_order: LongRunningOrder = "long-running-order",
    /// Whether long-running tasks that have been interrupted get what is free before all others.
    long_running_restart: LongRunningRestart = "long-running-restart",
    /// When a long-running job that has arrived is placed.
    long_running_start: LongRunningStart = "long-running-start",
    /// Whose headroom the pace of best-effort tasks keeps.
    pacing: PacingPolicy = "pacing",
    /// Whether running tasks are stopped in favour of waiting ones.
    preemption: PreemptionPolicy = "preemption",
    /// When a job of which no task runs may interfere with serving tasks.
    starvation: StarvationPolicy = "starvation",
}
