//! Types of a scenario's network: delays and losses between zones.
use serde::{Deserialize, Serialize};

/// The link between two zones, in both directions, where it differs from all others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Pair", deny_unknown_fields)]
pub struct ZoneLink {
    /// The zones.
    pub zones: [u32; 2],
    /// Seconds in one direction.
    #[serde(rename = "way")]
    pub delay_s: f64,
    /// The share of messages that arrive 0.2 s late, as after a retransmission.
    #[serde(default)]
    pub loss: f64,
}

/// Links between clients, schedulers and workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Seconds in one direction within a zone.
    #[serde(rename = "near")]
    pub intra_zone_delay_s: f64,
    /// Seconds in one direction between zones.
    #[serde(rename = "far")]
    pub inter_zone_delay_s: f64,
    /// The share of messages that arrive 0.2 s late, as after a retransmission.
    pub loss: f64,
    /// Seconds by which opening a connection to a worker delays the attempt that it is opened for.
    #[serde(rename = "connect")]
    pub connect_delay_s: f64,
    /// Links between zones that differ from the others.
    #[serde(rename = "pairs", skip_serializing_if = "Vec::is_empty")]
    pub zone_links: Vec<ZoneLink>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            intra_zone_delay_s: 0.0005,
            inter_zone_delay_s: 0.015,
            loss: 0.0,
            connect_delay_s: 0.0,
            zone_links: Vec::new(),
        }
    }
}

impl Network {
    /// The link between two zones, the same in both directions.
    pub fn link_between(&self, from: u32, to: u32) -> ZoneLinkQuality {
        let exception =
            self.zone_links.iter().find(|link| link.zones == [from, to] || link.zones == [to, from]);
        let usual_delay_s = if from == to { self.intra_zone_delay_s } else { self.inter_zone_delay_s };
        let usual = ZoneLinkQuality { delay_s: usual_delay_s, loss: self.loss };
        exception.map_or(usual, |link| ZoneLinkQuality { delay_s: link.delay_s, loss: link.loss })
    }
}

/// Delay and loss of the messages between two zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLinkQuality {
    /// Seconds in one direction.
    pub delay_s: f64,
    /// The share of messages that are lost and sent again.
    pub loss: f64,
}
