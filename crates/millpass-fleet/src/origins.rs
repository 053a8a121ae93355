//! Origins of streams, as gateways state them.

use crate::fleet::Fleet;
use millpass_proto::{InstanceId, OriginFinding, OriginUpdate, StreamReport, Timestamp};

impl Fleet {
    /// Records the streams that a gateway states, and answers its questions; none if it asks none.
    pub fn handle_streams(&mut self, now: Timestamp, report: StreamReport) -> Option<OriginUpdate> {
        let mut report = report;
        let waiting = std::mem::take(&mut report.waiting);
        if !waiting.is_empty() {
            self.demand.record_streams(now, waiting);
            self.dirty = true;
        }
        let dropped = self.origins.dropped();
        let runs = report
            .begun
            .iter()
            .filter_map(|group| group.origin.as_ref());
        let runs = runs.map(|origin| &origin.instance);
        let replaced: Vec<InstanceId> = runs
            .filter(|run| self.has_later_incarnation(run))
            .cloned()
            .collect();
        let mut answers = self
            .origins
            .handle(now, report, |run| replaced.contains(run));
        for answer in &mut answers {
            self.check_origin(answer);
        }
        if dropped == 0 && self.origins.dropped() > 0 {
            let streams = self.origins.len().to_string();
            let remedy = "raise origins.maximum_streams of the members".to_owned();
            self.event(
                "stream-origins-full",
                vec![("streams", streams), ("remedy", remedy)],
            );
        }
        for answer in &answers {
            let finding = match &answer.finding {
                OriginFinding::Known(origin) => origin.software.as_str(),
                OriginFinding::Contradicted => "contradicted",
                // Asked again and again; the gateway logs what it decides.
                OriginFinding::Unknown | OriginFinding::Unsettled(_) | OriginFinding::Unproven => {
                    continue;
                }
            };
            let stream = format!("{:016x}{:016x}", answer.stream.high, answer.stream.low);
            let finding = finding.to_owned();
            self.event(
                "stream-looked-up",
                vec![("stream", stream), ("finding", finding)],
            );
        }
        (!answers.is_empty()).then_some(OriginUpdate { answers })
    }
}
