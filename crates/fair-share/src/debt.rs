//! Debts of tenants that used more than their entitlement. The debts decay with time.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::window::ClosedWindow;
use crate::{FULL_SHARE_PPM, Name};

/// The number of fractional bits of the sums in [`Debts`], which are fixed-point numbers in
/// slot-milliseconds. A sum adds up what accounting windows contribute to a tenant's debt, and is halved once
/// in each half-life of debts. A contribution is a whole number, and each halving needs one more fractional
/// bit. Therefore a contribution stays exact for this many half-lives.
const FRACTION_BITS: u32 = 32;
/// The maximum half-life of debts, as a number of accounting windows.
const MAX_HALF_LIFE_WINDOWS: u32 = 4_096;
/// The maximum contribution of one accounting window to a tenant's debt, in slot-milliseconds. With this
/// bound, no sum in [`Debts`] exceeds 128 bits.
const MAX_CONTRIBUTION: i128 = 1 << 60;
/// The maximum number of times that a sum is halved in one step. The magnitude of a sum in [`Debts`] has
/// fewer bits than this number, so that more halvings would give 0 as well.
const MAX_HALVINGS: i64 = 126;

/// The debts of tenants. A debt is a tenant's past usage above its entitlement. It is halved over each
/// half-life, which is a fixed number of accounting windows.
///
/// Each accounting window adds a contribution to the debt of each tenant, in slot-milliseconds. The
/// contribution is the tenant's work in that window, plus the tenant's adjustments (changes of the work in
/// earlier windows), minus the tenant's entitlement. It may be negative.
///
/// A contribution decays to a half over the first half-life, to a quarter over the second, and so on. Within
/// each half-life the decay is linear. An exponential decay would give the same values at the ends of each
/// half-life. In between, the linear values are at most 6.2 % higher.
///
/// With a half-life of `n` windows, each tenant has `n` sums. Sum `i` holds the contributions of the windows
/// whose index modulo `n` is `i`. At each such window the sum is first halved, and then the new contribution
/// is added. All older contributions in the sum are whole half-lives old at that time, so that a halving is
/// the correct decay for all of them.
///
/// Between two halvings of a sum, [`Debts::balance`] computes the linear decay on each call. It does not
/// store the result. Therefore rounding errors do not accumulate, and the order of contributions does not
/// matter. A contribution is exact for 32 half-lives. After that, each halving of its sum is rounded towards
/// 0, by less than 2^-32 slot-milliseconds, until the sum is 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debts {
    /// The half-life of debts, as a number of accounting windows.
    #[serde(rename = "half_life")]
    half_life_windows: u32,
    /// The index of the last accounting window that was added. `None` if no window was added yet.
    #[serde(rename = "last")]
    last_window: Option<i64>,
    /// For each tenant, the sums of what accounting windows contribute to the tenant's debt. Sum `i` is that
    /// of the windows whose index modulo `half_life_windows` is `i`; [`Debts`] explains why. The sums are
    /// fixed-point numbers of slot-milliseconds, with [`FRACTION_BITS`] fractional bits.
    sums: BTreeMap<Name, Vec<i128>>,
}

impl Debts {
    /// Creates an empty set of debts. The half-life is a number of accounting windows, and is clamped to the
    /// range 1 to 4 096.
    pub fn new(half_life_windows: u32) -> Debts {
        let half_life_windows = half_life_windows.clamp(1, MAX_HALF_LIFE_WINDOWS);
        Debts { half_life_windows, last_window: None, sums: BTreeMap::new() }
    }

    /// Adds the usage of a closed accounting window to the debts. `entitlements` maps tenants to their
    /// entitlements in that window, in slot-milliseconds. The debts of tenants that are not in this map are
    /// removed.
    ///
    /// The ledger omits windows without usage. An omitted window contributes nothing to a debt, but the debts
    /// decay for that window too. A window that is not later than the last added window is ignored.
    pub fn add_window(&mut self, closed: &ClosedWindow, entitlements: &BTreeMap<Name, u64>) {
        if self.last_window.is_some_and(|last| closed.index <= last) {
            return;
        }
        self.sums.retain(|tenant, _| entitlements.contains_key(tenant));
        self.decay(closed.index);
        let positions = self.half_life_windows as usize;
        let position = closed.index.rem_euclid(self.half_life_windows.into()) as usize;
        for (tenant, &entitlement) in entitlements {
            let work = closed.work.get(tenant).copied().unwrap_or(0);
            let adjustment = closed.adjustments.get(tenant).copied().unwrap_or(0);
            let contribution = i128::from(work) + i128::from(adjustment) - i128::from(entitlement);
            let contribution = contribution.clamp(-MAX_CONTRIBUTION, MAX_CONTRIBUTION);
            let sums = self.sums.entry(tenant.clone()).or_insert_with(|| vec![0; positions]);
            sums[position] += contribution << FRACTION_BITS;
        }
        self.last_window = Some(closed.index);
    }

    /// Lets the debts decay up to the accounting window with index `window`. A tenant's debt is stored as
    /// `half_life_windows` sums, and each window contributes to one of them (see [`Debts`]). For each window
    /// after the last added window, up to and including `window`, that sum is halved for each tenant. Each
    /// sum is thus halved once in each half-life.
    fn decay(&mut self, window: i64) {
        let last_window = self.last_window.unwrap_or(window - 1);
        let half_life = i64::from(self.half_life_windows);
        for position in 0..half_life {
            let windows_at_position_up_to = |window: i64| (window - position).div_euclid(half_life);
            let windows_at_position =
                windows_at_position_up_to(window) - windows_at_position_up_to(last_window);
            let halvings = windows_at_position.min(MAX_HALVINGS) as u32;
            if halvings > 0 {
                self.sums.values_mut().for_each(|sums| sums[position as usize] /= 1 << halvings);
            }
        }
    }

    /// The debt of a tenant, in slot-milliseconds. It is negative if the tenant used less than its
    /// entitlement, and 0 if no debt of the tenant is stored.
    pub fn balance(&self, tenant: &str) -> i128 {
        let (Some(sums), Some(last_window)) = (self.sums.get(tenant), self.last_window) else { return 0 };
        let half_life = i64::from(self.half_life_windows);
        let decayed = sums.iter().zip(0..half_life).map(|(&sum, position)| {
            let age = (last_window - position).rem_euclid(half_life);
            sum * i128::from(2 * half_life - age)
        });
        decayed.sum::<i128>() / i128::from(2 * half_life) / (1 << FRACTION_BITS)
    }

    /// The debt of each tenant relative to the tenant's entitlement over one half-life, in parts per million,
    /// as in [`crate::TenantDemand::debt`]. The values are clamped to the range 0 to 1 000 000.
    /// `entitlements` gives the entitlement of each tenant in one accounting window, in slot-milliseconds.
    pub fn relative_debts(&self, entitlements: &BTreeMap<Name, u64>) -> BTreeMap<Name, u32> {
        let debts = entitlements.iter().map(|(tenant, &entitlement)| {
            let debt = self.balance(tenant.as_str()).max(0) as u128;
            let scale = (u128::from(entitlement) * u128::from(self.half_life_windows)).max(1);
            let ppm = debt.min(scale) * u128::from(FULL_SHARE_PPM) / scale;
            (tenant.clone(), ppm as u32)
        });
        debts.collect()
    }
}
