//! The network of a scenario: delays and message losses within and between zones.
use serde::{Deserialize, Serialize};

/// Delay and loss of messages between two zones, in both directions. They replace the default values of the
/// network.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Pair", deny_unknown_fields)]
pub struct ZoneLink {
    /// Indexes of the two zones between which this delay and this loss apply.
    pub zones: [u32; 2],
    /// One-way delay of messages between the two zones, in seconds.
    #[serde(rename = "way")]
    pub delay_s: f64,
    /// Share of the messages between the two zones that are lost, from 0 to 1. A lost message arrives 0.2 s
    /// late, as after a retransmission. Only the simulation supports message loss.
    #[serde(default)]
    pub loss: f64,
}

/// Delays and losses of the network between clients, schedulers and workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One-way delay of messages within a zone, in seconds.
    #[serde(rename = "near")]
    pub intra_zone_delay_s: f64,
    /// One-way delay of messages between two zones, in seconds.
    #[serde(rename = "far")]
    pub inter_zone_delay_s: f64,
    /// Share of messages that are lost, from 0 to 1. Applies where `zone_links` sets no other share. A lost
    /// message arrives 0.2 s late, as after a retransmission. Only the simulation supports message loss.
    pub loss: f64,
    /// Seconds by which an attempt or load query is delayed if a new connection to its worker must be opened.
    #[serde(rename = "connect")]
    pub connect_delay_s: f64,
    /// Pairs of zones whose delay and loss differ from the default values of the network.
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
    /// Returns the delay and the loss of messages between two zones. They are the same in both directions.
    pub fn link_between(&self, from: u32, to: u32) -> ZoneLinkQuality {
        let zone_link =
            self.zone_links.iter().find(|link| link.zones == [from, to] || link.zones == [to, from]);
        let default_delay_s = if from == to { self.intra_zone_delay_s } else { self.inter_zone_delay_s };
        let default_quality = ZoneLinkQuality { delay_s: default_delay_s, loss: self.loss };
        zone_link.map_or(default_quality, |link| ZoneLinkQuality { delay_s: link.delay_s, loss: link.loss })
    }
}

/// Delay and loss of the messages between two zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLinkQuality {
    /// One-way delay of messages between the two zones, in seconds.
    pub delay_s: f64,
    /// Share of the messages between the two zones that are lost and retransmitted, from 0 to 1.
    pub loss: f64,
}
