//! The heartbeat reports of daemons on the wire.

use std::net::SocketAddr;

use geraniumshed_model::prelude::{DaemonIncarnation, LogOffset, PeerIdentity, PeerReport};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use crate::common::WireError;
use crate::log::EndpointIdWire;

/// A [`PeerReport`] on the wire, sent with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReportWire {
    /// The id of the daemon.
    pub daemon: SmolStr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its region.
    pub region: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// The address of its peer interface.
    pub address: SocketAddr,
    /// The offset after the last entry of the `config` stream that it has applied.
    pub applied: u64,
    /// Whether it has caught up with the log and accepts requests.
    pub serving: bool,
    /// Whether it has had no answer from the log for several seconds.
    pub log_silent: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The endpoints that it has recently seen to be leaving.
    pub leaving_endpoints: Vec<EndpointIdWire>,
}

impl From<PeerReport> for PeerReportWire {
    fn from(report: PeerReport) -> Self {
        let identity = report.identity;
        Self {
            daemon: identity.daemon.to_smolstr(),
            incarnation: identity.incarnation.0,
            region: identity.region.to_smolstr(),
            zone: identity.zone.to_smolstr(),
            address: identity.address,
            applied: report.applied.0,
            serving: report.serving,
            log_silent: report.log_silent,
            leaving: report.leaving,
            leaving_endpoints: report
                .leaving_endpoints
                .into_iter()
                .map(Into::into)
                .collect(),
        }
    }
}

impl TryFrom<PeerReportWire> for PeerReport {
    type Error = WireError;

    fn try_from(wire: PeerReportWire) -> Result<Self, Self::Error> {
        Ok(Self {
            identity: PeerIdentity {
                daemon: wire.daemon.parse()?,
                incarnation: DaemonIncarnation(wire.incarnation),
                region: wire.region.parse()?,
                zone: wire.zone.parse()?,
                address: wire.address,
            },
            applied: LogOffset(wire.applied),
            serving: wire.serving,
            log_silent: wire.log_silent,
            leaving: wire.leaving,
            leaving_endpoints: wire
                .leaving_endpoints
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()
                .map_err(WireError::invalid)?,
        })
    }
}
