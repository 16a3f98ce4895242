//! Metrics of a process, sent over UDP with `cadence`.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, NopMetricSink, StatsdClient, Timed, UdpMetricSink};
use eyre::{Result, WrapErr};

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "turmeric";

/// Counters, gauges and timers of this process.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    client: StatsdClient,
}

impl ProcessMetrics {
    /// Sends metrics to `address`, or discards them if there is none.
    pub(crate) fn new(address: Option<SocketAddr>) -> Result<Self> {
        let Some(address) = address else {
            let client = StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink);
            return Ok(Self { client });
        };
        let socket = UdpSocket::bind("0.0.0.0:0").wrap_err("opening the socket for metrics")?;
        socket
            .set_nonblocking(true)
            .wrap_err("preparing the socket for metrics")?;
        let sink = UdpMetricSink::from(address, socket).wrap_err("preparing metrics")?;
        let client = StatsdClient::from_sink(METRIC_PREFIX, sink);
        Ok(Self { client })
    }

    // A metric that cannot be sent must not fail the operation that it counts.

    /// Increments a counter.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }

    /// Records a duration given in microseconds; it is sent in whole milliseconds.
    pub(crate) fn time_micros(&self, name: &str, micros: u64) {
        let _ = self.client.time(name, micros / 1000);
    }
}
