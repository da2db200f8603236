//! Debts that fade.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ClosedWindow, FULL_SHARE_PPM, Name};

/// Binary places below a slot-millisecond: a contribution is exact for as many half-lives.
const PLACES: u32 = 32;
/// Most windows to a half-life.
const MOST_WINDOWS: u32 = 4_096;

/// What tenants took above their entitlement, fading by half in each half-life.
///
/// A window's contribution is the work and the adjustments less the entitlement, and may be negative. It fades along a
/// straight line to one half over the first half-life, to a quarter over the second, and so on: never more than 6.2 %
/// above the exponential curve, and on it at each half-life. There is one sum for each place of a window in its
/// half-life; it is halved when its place comes round, and the debt is made from the sums anew each time. So no
/// rounding adds up, and the order in which contributions are added does not matter; one is exact for 32 half-lives,
/// then less than a slot-millisecond, at last nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debts {
    /// Windows to a half-life.
    half_life: u32,
    /// The window that was settled last, by number.
    last: Option<i64>,
    sums: BTreeMap<Name, Vec<i128>>,
}

impl Debts {
    /// Nobody owes anything. The half-life is in windows and counts as at least 1, at most 4 096.
    pub fn new(half_life: u32) -> Debts {
        Debts { half_life: half_life.clamp(1, MOST_WINDOWS), last: None, sums: BTreeMap::new() }
    }

    /// Takes a closed window; `entitled` is what each tenant was entitled to in it, in slot-milliseconds. Who is
    /// not among them is forgotten. Windows that were left out, as nobody worked, only let debts fade; one that is
    /// not later than the last changes nothing.
    pub fn settle(&mut self, closed: &ClosedWindow, entitled: &BTreeMap<Name, u64>) {
        if self.last.is_some_and(|last| closed.index <= last) {
            return;
        }
        let (places, last) = (i64::from(self.half_life), self.last.unwrap_or(closed.index - 1));
        self.sums.retain(|tenant, _| entitled.contains_key(tenant));
        for place in 0..places {
            // How often this place came round after the last window, up to this one.
            let upto = |window: i64| (window - place).div_euclid(places);
            let rounds = (upto(closed.index) - upto(last)).min(126) as u32;
            if rounds > 0 {
                self.sums.values_mut().for_each(|sums| sums[place as usize] /= 1 << rounds);
            }
        }
        let place = closed.index.rem_euclid(places) as usize;
        for (tenant, &entitled) in entitled {
            let work = closed.work.get(tenant).copied().unwrap_or(0);
            let adjustment = closed.adjustments.get(tenant).copied().unwrap_or(0);
            let over = i128::from(work) + i128::from(adjustment) - i128::from(entitled);
            let sums = self.sums.entry(tenant.clone()).or_insert_with(|| vec![0; places as usize]);
            // No window brings so much; guards against sums that leave their bounds.
            sums[place] += over.clamp(-(1 << 60), 1 << 60) << PLACES;
        }
        self.last = Some(closed.index);
    }

    /// What a tenant owes, in slot-milliseconds; negative where it took less than its entitlement.
    pub fn balance(&self, tenant: &str) -> i128 {
        let (Some(sums), Some(last)) = (self.sums.get(tenant), self.last) else { return 0 };
        let places = i64::from(self.half_life);
        let faded = sums.iter().zip(0..places).map(|(&sum, place)| {
            let age = (last - place).rem_euclid(places);
            sum * i128::from(2 * places - age)
        });
        faded.sum::<i128>() / i128::from(2 * places) / (1 << PLACES)
    }

    /// What each tenant owes, in parts in a million of its entitlement over one half-life, as [`crate::Use::debt`]
    /// wants it: from 0 to 1 000 000. `entitled` is that of one window, in slot-milliseconds.
    pub fn relative_debts(&self, entitled: &BTreeMap<Name, u64>) -> BTreeMap<Name, u32> {
        let owed = entitled.iter().map(|(tenant, &entitled)| {
            let over = self.balance(tenant.as_str()).max(0) as u128;
            let scale = (u128::from(entitled) * u128::from(self.half_life)).max(1);
            let parts = over.min(scale) * u128::from(FULL_SHARE_PPM) / scale;
            (tenant.clone(), parts as u32)
        });
        owed.collect()
    }
}
