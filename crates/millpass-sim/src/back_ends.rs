//! Machines and processes of back ends: engines and web servers.

use crate::engine::{EngineModel, EngineProtections};
use crate::event::{BackEnd, BackEndRequest, ReplyTo};
use crate::network::Zone;
use millpass_checkers::{Event, RunEnding};
use millpass_proto::{
    BackendKind, BackendName, BackendState, EngineReport, GroupName, Incarnation, PlatformMachine,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of recorded reports, from which delayed ones are served.
pub const MAXIMUM_RECORDED_REPORTS: usize = 200;

/// A running request at a back end.
pub struct Run {
    /// Request.
    pub request: BackEndRequest,
    /// Position of the next token.
    pub position: u64,
}

impl Run {
    /// Begins a run and returns it with its event.
    pub fn begin(
        backend: &BackendName,
        incarnation: Incarnation,
        request: BackEndRequest,
    ) -> (Run, Event) {
        let event = Event::RunStarted {
            backend: backend.clone(),
            incarnation,
            request: request.request,
            key: request.key.clone(),
            resumed: request.resume_from > 0,
        };
        let position = request.resume_from;
        (Run { request, position }, event)
    }

    /// Returns the event of its end.
    pub fn end(&self, backend: &BackendName, incarnation: Incarnation, ending: RunEnding) -> Event {
        Event::RunEnded {
            backend: backend.clone(),
            incarnation,
            request: self.request.request,
            ending,
        }
    }
}

/// An engine machine.
pub struct EngineNode {
    /// Name.
    pub name: BackendName,
    /// Zone.
    pub zone: Zone,
    /// Whether a process runs.
    pub alive: bool,
    /// Whether the platform reclaimed the machine.
    pub reclaimed: bool,
    /// Number of the process's run.
    pub run: u64,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// State of the engine process.
    pub model: EngineModel,
    /// Recorded reports with their start of validity, for delayed reports.
    pub reports: VecDeque<(u64, EngineReport)>,
    /// Running requests.
    pub runs: BTreeMap<ReplyTo, Run>,
}

impl EngineNode {
    /// Creates a machine without a process.
    pub fn new(name: BackendName, zone: Zone) -> Self {
        let model = EngineModel::new(
            name.clone(),
            Incarnation(0),
            crate::control_node::zone_name(zone),
            Vec::new(),
            BTreeSet::new(),
            EngineProtections::default(),
        );
        EngineNode {
            name,
            zone,
            alive: false,
            reclaimed: false,
            run: 0,
            incarnation: Incarnation(0),
            model,
            reports: VecDeque::new(),
            runs: BTreeMap::new(),
        }
    }

    /// Returns the address of its HTTP interface.
    pub fn address(&self) -> String {
        format!("10.2.{}:9000", self.name)
    }

    /// Returns its entry in the platform's list.
    pub fn machine(&self, state: BackendState) -> PlatformMachine {
        PlatformMachine {
            backend: self.name.clone(),
            kind: BackendKind::Engine,
            group: None,
            zone: crate::control_node::zone_name(self.zone),
            address: self.address(),
            state,
        }
    }

    /// Records the current report.
    pub fn record_report(&mut self, now: u64) {
        if self.reports.len() == MAXIMUM_RECORDED_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((now, self.model.report()));
    }

    /// Returns the report that was current at a time, or the oldest recorded one.
    pub fn report_at(&self, at: u64) -> EngineReport {
        let older = self.reports.iter().rev().find(|(since, _)| *since <= at);
        let oldest = older.or_else(|| self.reports.front());
        oldest.map_or_else(|| self.model.report(), |(_, report)| report.clone())
    }
}

/// A web machine.
pub struct WebNode {
    /// Name.
    pub name: BackendName,
    /// Zone.
    pub zone: Zone,
    /// Whether a process runs.
    pub alive: bool,
    /// Number of the process's run.
    pub run: u64,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Running requests.
    pub runs: BTreeMap<ReplyTo, Run>,
    /// Sequence number of the last report.
    pub sequence: u64,
}

impl WebNode {
    /// Creates a machine without a process.
    pub fn new(name: BackendName, zone: Zone) -> Self {
        WebNode {
            name,
            zone,
            alive: false,
            run: 0,
            incarnation: Incarnation(0),
            runs: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Returns the address of its HTTP interface.
    pub fn address(&self) -> String {
        format!("10.3.{}:9000", self.name)
    }

    /// Returns its entry in the platform's list.
    pub fn machine(&self, state: BackendState) -> PlatformMachine {
        PlatformMachine {
            backend: self.name.clone(),
            kind: BackendKind::Web,
            group: Some(GroupName::from(crate::catalog::WEB_GROUP)),
            zone: crate::control_node::zone_name(self.zone),
            address: self.address(),
            state,
        }
    }
}

impl BackEnd {
    /// Returns a unique number for the trace hash.
    pub fn number(&self) -> u64 {
        match self {
            BackEnd::Engine(index) => *index as u64,
            BackEnd::Web(index) => 1_000 + *index as u64,
        }
    }
}
