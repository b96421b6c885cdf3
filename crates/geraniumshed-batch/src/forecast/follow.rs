//! Reads the forecasts of the leader.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_model::prelude::{TimePoint, whole_millis};
use tokio::time::sleep;

use crate::node::NodeShared;
use crate::peer::PeerFailure;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::wire::{ForecastQueryWire, ForecastReplyWire, ForecastWire, decode, encode};

/// The time for which the leader holds a question until it has another forecast.
const HOLD: Duration = Duration::from_secs(1);
/// The timeout for the answer. A later one tells about nothing recent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The least interval between two calls. The leader makes at most one forecast in that time.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The delay before the next call if the callee doesn't lead, or runs a release without the call.
const REST: Duration = Duration::from_secs(1);

/// The newest forecast that was read: the leader that made it, and its number there.
type ReadForecast = Option<(MemberIdentity, u64)>;

/// Keeps the newest forecast of the leader on this node.
pub(crate) async fn follow_forecasts<S, F, W>(shared: Arc<NodeShared<S, F, W>>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let mut read: ReadForecast = None;
    loop {
        let Some(leader) = shared.other_leader() else {
            // The planner of this node publishes its forecasts here, or there is no leader.
            sleep(REST).await;
            continue;
        };
        let delay = match shared.read_forecast(&leader, &mut read).await {
            Ok(true) => MIN_INTERVAL,
            Ok(false) => REST,
            Err(error) => {
                log::debug!("could not read the forecast of {leader}: {error:?}");
                REST
            }
        };
        sleep(delay).await;
    }
}

/// Answers the question of another node for the newest forecast.
pub(crate) async fn answer_forecast_query<S, F, W>(
    shared: &NodeShared<S, F, W>,
    query: ForecastQueryWire,
) -> ForecastReplyWire
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let asked_at = shared.clock().now();
    if !shared.view().is_leading {
        return ForecastReplyWire::default();
    }
    let published = shared.context.forecasts.next(query.known, HOLD).await;
    let now = shared.clock().now();
    let forecast = if published.number == query.known {
        Bytes::new()
    } else {
        encode(&ForecastWire::from(&*published.forecast))
    };
    ForecastReplyWire {
        is_leading: shared.view().is_leading,
        number: published.number,
        held_ms: whole_millis(now.since(asked_at)),
        age_ms: whole_millis(now.since(published.made_at)),
        forecast,
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> NodeShared<S, F, W> {
    /// Returns the leader, if it is another node.
    fn other_leader(&self) -> Option<MemberIdentity> {
        let view = self.view();
        let leader = view.leader.as_ref().map(|record| &record.member)?;
        let is_other = !view.is_leading && *leader != self.settings.identity;
        is_other.then(|| leader.clone())
    }

    /// Reads the next forecast of the leader, and returns whether the callee leads.
    async fn read_forecast(
        &self,
        leader: &MemberIdentity,
        read: &mut ReadForecast,
    ) -> Result<bool, PeerFailure> {
        let known = read.as_ref().filter(|(member, _)| member == leader);
        let query = ForecastQueryWire {
            known: known.map_or(0, |(_, number)| *number),
        };
        let asked_at = self.clock().now();
        let pool = &self.forecast_pool;
        let reply = pool
            .wait_forecast(leader.address, query, ANSWER_TIMEOUT)
            .await?;
        if reply.is_leading {
            self.receive_forecast(asked_at, &reply);
            *read = Some((leader.clone(), reply.number));
        }
        Ok(reply.is_leading)
    }

    fn receive_forecast(&self, asked_at: TimePoint, reply: &ForecastReplyWire) {
        if reply.forecast.is_empty() {
            return;
        }
        match decode::<ForecastWire>(&reply.forecast) {
            Ok(forecast) => {
                let made_at = reply.made_at(asked_at);
                let board = &self.context.forecasts;
                board.receive(made_at, Arc::new(forecast.into()));
            }
            Err(error) => log::error!("could not decode a forecast of waits: {error}"),
        }
    }
}
