//! Debts of tenants that used more than their entitlement; they decay over time.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::window::ClosedWindow;
use crate::{FULL_SHARE_PPM, Name};

/// Binary places below a slot-millisecond: a contribution is exact for as many half-lives.
const FRACTION_BITS: u32 = 32;
/// Longest half-life, in windows.
const MAX_HALF_LIFE_WINDOWS: u32 = 4_096;
/// No window contributes as much: with it no sum exceeds 128 bits.
const MAX_CONTRIBUTION: i128 = 1 << 60;
/// More halvings than bits that a sum can have, less the sign.
const MAX_HALVINGS: i64 = 126;

/// What tenants used above their entitlement, decaying by half in each half-life.
///
/// A window's contribution is the work and the adjustments less the entitlement, and may be negative. It decays along
/// a straight line to one half over the first half-life, to a quarter over the second, and so on: never more than
/// 6.2 % above the exponential curve, and on it at each half-life. There is one sum for each position of a window in
/// its half-life. It is halved when its position recurs, and the debt is computed from the sums anew each time. So
/// rounding errors do not accumulate, and the order of contributions does not matter; one is exact for 32 half-lives,
/// then less than a slot-millisecond, at last nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debts {
    /// Windows to a half-life.
    #[serde(rename = "half_life")]
    half_life_windows: u32,
    /// The number of the window that was settled last.
    #[serde(rename = "last")]
    last_window: Option<i64>,
    /// By tenant, a sum for each position in the half-life.
    sums: BTreeMap<Name, Vec<i128>>,
}

impl Debts {
    /// No debts. The half-life is in windows and counts as at least 1, at most 4 096.
    pub fn new(half_life_windows: u32) -> Debts {
        let half_life_windows = half_life_windows.clamp(1, MAX_HALF_LIFE_WINDOWS);
        Debts { half_life_windows, last_window: None, sums: BTreeMap::new() }
    }

    /// Adds a closed window; `entitlements` is what each tenant was entitled to in it, in slot-milliseconds. Tenants
    /// that are not among them are removed. Windows that were left out, as they had no usage, only let debts decay; a
    /// window that is not later than the last changes nothing.
    pub fn settle(&mut self, closed: &ClosedWindow, entitlements: &BTreeMap<Name, u64>) {
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

    /// Halves each sum as often as its position recurred after the last window, up to this one.
    fn decay(&mut self, window: i64) {
        let last_window = self.last_window.unwrap_or(window - 1);
        let half_life = i64::from(self.half_life_windows);
        for position in 0..half_life {
            let recurrences_up_to = |window: i64| (window - position).div_euclid(half_life);
            let recurrences = recurrences_up_to(window) - recurrences_up_to(last_window);
            let halvings = recurrences.min(MAX_HALVINGS) as u32;
            if halvings > 0 {
                self.sums.values_mut().for_each(|sums| sums[position as usize] /= 1 << halvings);
            }
        }
    }

    /// The debt of a tenant, in slot-milliseconds; negative where it used less than its entitlement.
    pub fn balance(&self, tenant: &str) -> i128 {
        let (Some(sums), Some(last_window)) = (self.sums.get(tenant), self.last_window) else { return 0 };
        let half_life = i64::from(self.half_life_windows);
        let decayed = sums.iter().zip(0..half_life).map(|(&sum, position)| {
            let age = (last_window - position).rem_euclid(half_life);
            sum * i128::from(2 * half_life - age)
        });
        decayed.sum::<i128>() / i128::from(2 * half_life) / (1 << FRACTION_BITS)
    }

    /// Each tenant's debt, in parts per million of its entitlement over one half-life, as in
    /// [`crate::TenantDemand::debt`]: from 0 to 1 000 000. `entitlements` are those of one window, in
    /// slot-milliseconds.
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
