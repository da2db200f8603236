//! Decaying debts of tenants that used more than their entitlement.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::window::ClosedWindow;
use crate::{FULL_SHARE_PPM, Name};

/// Number of fractional bits of the sums in [`Debts`], which are fixed-point numbers in slot-milliseconds. A
/// contribution to a sum stays exact for this many half-lives, because each halving of the sum needs one more
/// fractional bit.
const FRACTION_BITS: u32 = 32;
/// Maximum half-life of debts, as a number of accounting windows.
const MAX_HALF_LIFE_WINDOWS: u32 = 4_096;
/// Maximum contribution of one window to a tenant's debt, in slot-milliseconds. With this bound, no sum in
/// [`Debts`] exceeds 128 bits.
const MAX_CONTRIBUTION: i128 = 1 << 60;
/// Maximum number of halvings that are applied to a sum in one step. The magnitude of a sum in [`Debts`] has
/// fewer bits than this number, so any sum is 0 after this number of halvings.
const MAX_HALVINGS: i64 = 126;

/// Debts of tenants: their usage above their entitlement, which decays by half in each half-life.
///
/// The contribution of a window to a tenant's debt is the tenant's work in that window, plus the tenant's
/// adjustments (changes of the work in earlier windows), minus the tenant's entitlement, in
/// slot-milliseconds. A contribution may be negative. Each contribution decays linearly to one half over the
/// first half-life, to a quarter over the second, and so on: at most 6.2 % above the exponential curve, and
/// equal to that curve at each multiple of the half-life.
///
/// The half-life is a number of windows, and each tenant has that many sums. Sum `i` takes the contributions
/// of the windows whose index modulo the half-life is `i`, and is halved each time such a window is reached.
/// [`Debts::balance`] computes the linear decay between the halvings on each call. Therefore rounding errors
/// do not accumulate, and the order of contributions does not matter. A contribution is exact for 32
/// half-lives. After that each halving of its sum is rounded towards 0, by less than 2^-32 slot-milliseconds,
/// until the sum is 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debts {
    /// Half-life of debts, as a number of accounting windows.
    #[serde(rename = "half_life")]
    half_life_windows: u32,
    /// Index of the window that was added last.
    #[serde(rename = "last")]
    last_window: Option<i64>,
    /// Sums of the contributions by tenant, as fixed-point numbers with [`FRACTION_BITS`] fractional bits.
    /// Sum `i` is that of the windows whose index modulo the half-life is `i`.
    sums: BTreeMap<Name, Vec<i128>>,
}

impl Debts {
    /// Creates an empty set of debts. The half-life is in windows and is clamped to the range 1 to 4 096.
    pub fn new(half_life_windows: u32) -> Debts {
        let half_life_windows = half_life_windows.clamp(1, MAX_HALF_LIFE_WINDOWS);
        Debts { half_life_windows, last_window: None, sums: BTreeMap::new() }
    }

    /// Adds the usage of a closed window to the debts. `entitlements` is the entitlement of each tenant in
    /// that window, in slot-milliseconds; the debts of tenants that are not listed there are removed.
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

    /// Lets the sums decay up to a window: for each window after the last added one, up to and including the
    /// given one, halves the sum whose index is the window's index modulo the half-life.
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

    /// Debt of a tenant, in slot-milliseconds; negative if it used less than its entitlement, 0 if no
    /// debt of the tenant is kept.
    pub fn balance(&self, tenant: &str) -> i128 {
        let (Some(sums), Some(last_window)) = (self.sums.get(tenant), self.last_window) else { return 0 };
        let half_life = i64::from(self.half_life_windows);
        let decayed = sums.iter().zip(0..half_life).map(|(&sum, position)| {
            let age = (last_window - position).rem_euclid(half_life);
            sum * i128::from(2 * half_life - age)
        });
        decayed.sum::<i128>() / i128::from(2 * half_life) / (1 << FRACTION_BITS)
    }

    /// Debt of each tenant in parts per million of its entitlement over one half-life, clamped to the range
    /// from 0 to 1 000 000, as in [`crate::TenantDemand::debt`]. `entitlements` are the entitlements in one
    /// window, in slot-milliseconds.
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
