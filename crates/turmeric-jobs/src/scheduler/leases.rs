//! Grants leases, as far as the leader's row in the store promises them.

use std::collections::BTreeMap;
use std::time::Duration;

use turmeric_types::MonoTime;

use super::vm::VmState;
use super::{JobScheduler, LeaderTimeouts};
use crate::lease::DELAYED_CALL_LIMIT;
use crate::{LeasePromise, VmReport};

/// A VM to which no lease was granted for this long is promised as expiring; agents report every
/// 400 ms.
const GRANT_TIMEOUT: Duration = Duration::from_millis(800);

/// Part of the bytes of the leader's row that VMs without leases may take.
const EXPIRING_DIVISOR: usize = 4;

/// A lease that counts from a report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportGrant {
    /// The agent's clock in the report, in milliseconds.
    pub(super) stamp_millis: u64,
    /// When the lease has certainly expired.
    pub(super) lease_end: MonoTime,
}

/// Promises about leases of this leader and of the earlier ones.
#[derive(Clone, Debug)]
pub(super) struct LeaseBook {
    /// What the earlier leaders promised.
    earlier: LeasePromise,
    /// Promise of the last row that the store has confirmed.
    confirmed: LeasePromise,
    /// What all rows promise that may be in the store already.
    pending: Option<LeasePromise>,
    /// No row has listed the VMs that have not reported since the takeover.
    pub(super) is_first_row_due: bool,
    /// Grants that no row covers yet, by VM.
    pub(super) withheld: BTreeMap<String, ReportGrant>,
}

impl LeaseBook {
    /// Creates the book of a leader that knows nothing of the earlier ones.
    pub(super) fn new(timeouts: &LeaderTimeouts, now: MonoTime) -> Self {
        let earlier = LeasePromise::unknown(&timeouts.lease, now);
        let own = earlier.take_over(&timeouts.lease, timeouts.renewal_window, now);
        Self::with_promises(earlier, own)
    }

    pub(super) fn with_promises(earlier: LeasePromise, own: LeasePromise) -> Self {
        Self {
            earlier,
            confirmed: own,
            pending: None,
            is_first_row_due: true,
            withheld: BTreeMap::new(),
        }
    }

    /// Returns whether a row should be written soon.
    pub(super) fn is_row_due(&self) -> bool {
        self.is_first_row_due || !self.withheld.is_empty()
    }

    /// Records that a row with a promise is written.
    pub(super) fn begin_row(&mut self, promise: LeasePromise) {
        self.is_first_row_due = false;
        // The row of a refused write may be in the store if an earlier attempt got no answer.
        self.pending = Some(match self.pending.take() {
            Some(earlier) => earlier.meet(promise),
            None => promise,
        });
    }

    /// Returns when the leases of earlier leaders on a VM have expired.
    pub(super) fn earlier_end_on(&self, vm: &str) -> MonoTime {
        self.earlier.end_on(vm)
    }

    /// Returns whether no worker of a VM can still get a deadline that an earlier leader granted.
    pub(super) fn is_ungranted(&self, vm: &str, now: MonoTime) -> bool {
        self.earlier.is_none() || now > self.earlier_end_on(vm).after(DELAYED_CALL_LIMIT)
    }

    /// Returns whether whichever row is in the store covers a lease.
    fn covers(&self, vm: &str, end: MonoTime) -> bool {
        let mut rows = std::iter::once(&self.confirmed).chain(&self.pending);
        rows.all(|promise| promise.covers(vm, end))
    }

    /// Records that the row with this promise is in the store.
    pub(super) fn confirm(&mut self, promise: LeasePromise) {
        self.pending = None;
        self.confirmed = promise;
    }
}

impl JobScheduler {
    /// Grants a lease, or withholds it until a row covers it.
    pub(super) fn grant_lease(&mut self, name: &str, grant: ReportGrant, now: MonoTime) {
        let is_covered = !self.is_releasing && self.leases.covers(name, grant.lease_end);
        let Some(vm) = self.vms.get_mut(name).filter(|_| is_covered) else {
            self.leases.withheld.insert(name.to_owned(), grant);
            return;
        };
        vm.lease_stamp_millis = Some(grant.stamp_millis);
        vm.leases_end_at = vm.leases_end_at.max(grant.lease_end);
        vm.granted_at = Some(now);
        vm.granted_end = vm.granted_end.max(Some(grant.lease_end));
    }

    /// Returns how long a lease that counts from a report may last, at most, if earlier agents can have
    /// renewed leases until `known_end`.
    ///
    /// A restarted agent knows nothing of the leases that earlier agents renewed, and states the
    /// longest that its worker accepts.
    pub(super) fn report_wait(
        &self,
        report: &VmReport,
        known_end: Option<MonoTime>,
        now: MonoTime,
    ) -> Duration {
        let earlier_wait = self.timeouts.lease.earlier_wait();
        let stated = report.lease_wait.unwrap_or(earlier_wait);
        match (report.own_lease_wait, known_end) {
            (Some(own), Some(end)) => stated.min(own.max(end.since(now))),
            _ => stated,
        }
    }

    /// Returns when the leases have expired that earlier agents of a VM can have renewed; [`None`] if
    /// a deadline by the clock of an earlier incarnation may stand for the longest lease.
    pub(super) fn known_lease_end(&self, report: &VmReport, now: MonoTime) -> Option<MonoTime> {
        let info = report.endpoint_info.as_ref()?;
        let incarnation = &info.incarnation;
        // Workers that do not state when they started cannot be told apart.
        if incarnation.started_at_millis == 0 {
            return None;
        }
        let earlier_end = self.leases.earlier_end_on(&report.vm);
        let vm = self.vms.get(&report.vm);
        if let Some(vm) = vm.filter(|vm| vm.info.is_some()) {
            let granted_end = vm.granted_end.filter(|_| vm.is_incarnation(incarnation))?;
            return Some(granted_end.max(earlier_end));
        }
        // The leader that placed an attempt there knew all leases of that incarnation.
        let mut attempts = vm.iter().flat_map(|vm| vm.attempts.values()).peekable();
        let is_new = attempts.peek().is_none() && self.leases.is_ungranted(&report.vm, now);
        let is_known = attempts.any(|attempt| attempt.location.incarnation == *incarnation);
        (is_new || is_known).then_some(earlier_end)
    }

    /// Grants the leases that the confirmed row covers.
    pub(super) fn grant_withheld(&mut self, now: MonoTime) {
        for (name, grant) in std::mem::take(&mut self.leases.withheld) {
            self.grant_lease(&name, grant, now);
            if !self.leases.withheld.contains_key(&name) {
                self.pending_updates.insert(name);
            }
        }
    }

    /// Returns what the next row promises. Leases are renewed on VMs that report, and on others they
    /// expire.
    ///
    /// Load pattern: a VM is gone, and one entry after another takes over. Each of them waits for
    /// the leases on that VM, but not for those that the one before granted on the others.
    pub(super) fn promise_leases(&self, now: MonoTime) -> LeasePromise {
        let is_expiring = |name: &str, vm: &VmState| {
            !vm.attempts.is_empty()
                && vm.granted_at.is_none_or(|at| now > at.after(GRANT_TIMEOUT))
                && !self.leases.withheld.contains_key(name)
        };
        let renewed = || {
            let vms = self.vms.iter();
            vms.filter(|(name, vm)| !is_expiring(name, vm))
        };
        let known_end = renewed().map(|(_, vm)| vm.all_leases_end_at()).max();
        let mut ends_at = known_end.unwrap_or(now).max(now);
        if !self.is_releasing {
            // Leases count only from reports of agents that have fenced their workers.
            let reporting =
                renewed().filter(|(_, vm)| vm.is_reachable(now) && vm.stamp_millis.is_some());
            let waits = reporting.filter_map(|(_, vm)| vm.renewable_wait);
            let longest = waits.chain([self.timeouts.lease.wait()]).max();
            let window = self.timeouts.renewal_window + longest.unwrap_or_default();
            ends_at = ends_at.max(now.after(window));
        }
        let expiring = self.vms.iter().filter(|(name, vm)| is_expiring(name, vm));
        let expiring = expiring.map(|(name, vm)| (name.clone(), vm.all_leases_end_at()));
        let limit = self.bounds.value_bytes / EXPIRING_DIVISOR;
        LeasePromise::new(ends_at).with_expiring(expiring, limit)
    }
}
