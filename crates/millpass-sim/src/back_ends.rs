//! Machines of back ends: engines and web servers, their processes and where they listen.

use crate::engine::{EngineModel, EngineProtections};
use crate::event::{BackEnd, BackEndRequest, ReplyTo};
use crate::network::Zone;
use millpass_checkers::{Event, RunEnding};
use millpass_proto::{
    BackendKind, BackendName, BackendState, EngineReport, GroupName, Incarnation, PlatformMachine,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Reports kept to show an older state.
pub const KEPT_REPORTS: usize = 200;

/// A request that runs at a back end.
pub struct Run {
    /// Request.
    pub request: BackEndRequest,
    /// Position of the next token.
    pub position: u64,
}

impl Run {
    /// A request that begins, and the event of it.
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

    /// The event of its end.
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
    /// Whether the machine was taken back by the platform.
    pub reclaimed: bool,
    /// Number of the process's run.
    pub run: u64,
    /// Number drawn by the run.
    pub incarnation: Incarnation,
    /// Model of the process.
    pub model: EngineModel,
    /// States by the time since which they hold, for late reports.
    pub reports: VecDeque<(u64, EngineReport)>,
    /// Requests that run.
    pub runs: BTreeMap<ReplyTo, Run>,
}

impl EngineNode {
    /// A machine without a process.
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

    /// Address of its HTTP interface.
    pub fn address(&self) -> String {
        format!("10.2.{}:9000", self.name)
    }

    /// Its line on the platform's list.
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

    /// Keeps the present state for later reports.
    pub fn keep_report(&mut self, now: u64) {
        if self.reports.len() == KEPT_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((now, self.model.report()));
    }

    /// The state as it was at a time.
    pub fn report_of(&self, at: u64) -> EngineReport {
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
    /// Number drawn by the run.
    pub incarnation: Incarnation,
    /// Requests that run.
    pub runs: BTreeMap<ReplyTo, Run>,
    /// Number of the next report.
    pub sequence: u64,
}

impl WebNode {
    /// A machine without a process.
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

    /// Address of its HTTP interface.
    pub fn address(&self) -> String {
        format!("10.3.{}:9000", self.name)
    }

    /// Its line on the platform's list.
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
    /// Number to order and hash by.
    pub fn number(&self) -> u64 {
        match self {
            BackEnd::Engine(index) => *index as u64,
            BackEnd::Web(index) => 1_000 + *index as u64,
        }
    }
}
