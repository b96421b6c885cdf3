//! The HTTP client of the VM list.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::VmEntry;
use geraniumshed_wire::common::{WireError, span_from_micros};
use geraniumshed_wire::platform::VmPageWire;

use super::transport::{HttpTimeouts, HttpTransport, IdleLimit, undecodable_answer};
use crate::error::PlatformError;
use crate::vm_list::{ListVersion, VmList, VmPage};

/// A client of the VM list's HTTP interface.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    transport: HttpTransport,
    address: SocketAddr,
}

impl HttpVmList {
    /// Creates a client of the VM list at an address.
    pub fn open(address: SocketAddr, timeouts: HttpTimeouts) -> Self {
        Self {
            transport: HttpTransport::open(timeouts, IdleLimit::Unlimited),
            address,
        }
    }
}

impl VmList for HttpVmList {
    async fn changes(&self, since: ListVersion) -> Result<VmPage, PlatformError> {
        let url = format!("http://{}/vms?since={}", self.address, since.0);
        let request = self.transport.client().get(url);
        let answer = self.transport.call(request, Duration::ZERO).await?;
        decode_page(&answer).map_err(undecodable_answer)
    }
}

fn decode_page(answer: &[u8]) -> Result<VmPage, WireError> {
    let page: VmPageWire = serde_json::from_slice(answer).map_err(WireError::encoding)?;
    let entries: Result<Vec<VmEntry>, WireError> =
        page.entries.into_iter().map(TryInto::try_into).collect();
    Ok(VmPage {
        version: ListVersion(page.version),
        age: span_from_micros(page.age_micros),
        whole: page.whole,
        entries: entries?,
    })
}
