//! Handling of announcements and departures of instances, received by this member or forwarded by
//! others.

use crate::fleet::Fleet;
use crate::interface::FleetSizes;
use crate::registry::{AnnouncementOutcome, equal_except_sequence};
use crate::shares::Holder;
use millpass_proto::{InstanceId, InstanceRecord, Timestamp};

impl Fleet {
    /// Applies an announcement received by this member, leading or not. `ended` states whether the
    /// instance has departed for good.
    pub fn handle_announcement(&mut self, now: Timestamp, record: InstanceRecord, ended: bool) {
        if ended {
            self.local_share.remove_ended(&record.instance);
            self.remove_instance(&record.instance, "departed");
            return;
        }
        if self.local_share.apply_announcement(&record) == AnnouncementOutcome::Stale {
            if self.has_started_leading() {
                self.record_lower_sequence(now, &record.instance);
            }
            return self.log_stale(&record);
        }
        if self.has_started_leading() {
            self.apply_announcement(now, Holder::Own, record, false);
        }
    }

    /// Applies an announcement that the holder member received.
    pub(crate) fn apply_announcement(
        &mut self,
        now: Timestamp,
        holder: Holder,
        record: InstanceRecord,
        ended: bool,
    ) {
        if ended {
            return self.remove_instance(&record.instance, "departed");
        }
        // Messages of an earlier incarnation are stale, whatever their sequence number.
        if self.has_later_incarnation(&record.instance) {
            return self.log_stale(&record);
        }
        let instance = record.instance.clone();
        let is_active = self.registry.get(&instance).is_some();
        let announced = match is_active || self.becomes_active(&record) {
            true => self.record_active(now, record),
            false => self.record_standby(now, record),
        };
        if announced == AnnouncementOutcome::Stale && !self.shares.is_unheld(&instance) {
            // Another member has received a newer announcement.
            return;
        }
        let has_moved = self.shares.record_holder(&instance, holder);
        if has_moved && self.registry.get(&instance).is_some() {
            self.active_revision += 1;
        }
    }

    /// Returns whether an instance that is not active becomes active.
    fn becomes_active(&self, record: &InstanceRecord) -> bool {
        let is_new = self.standby.get(&record.instance).is_none();
        is_new && self.keeps_all_active(&record.service)
    }

    fn record_standby(
        &mut self,
        now: Timestamp,
        mut record: InstanceRecord,
    ) -> AnnouncementOutcome {
        self.release_held_models(&record.service, &record.models);
        let Some(current) = self.standby.get(&record.instance) else {
            self.remove_earlier_incarnations(now, &record.instance);
            self.standby.insert(record);
            return AnnouncementOutcome::New;
        };
        if record.sequence < current.sequence {
            self.log_stale(&record);
            return AnnouncementOutcome::Stale;
        }
        record.retain_from(current);
        if equal_except_sequence(current, &record) {
            self.standby
                .update_sequence(&record.instance, record.sequence);
            return AnnouncementOutcome::Unchanged;
        }
        self.standby.insert(record);
        AnnouncementOutcome::Changed
    }

    /// Records an announcement of an instance that is active or becomes active.
    pub(crate) fn record_active(
        &mut self,
        now: Timestamp,
        record: InstanceRecord,
    ) -> AnnouncementOutcome {
        self.runs.record(now, &record.instance, record.sequence);
        let announced = self.registry.apply_announcement(record.clone());
        if announced == AnnouncementOutcome::Stale {
            self.log_stale(&record);
            return announced;
        }
        if announced != AnnouncementOutcome::Unchanged {
            self.dirty = true;
        }
        if announced == AnnouncementOutcome::New {
            self.remove_earlier_incarnations(now, &record.instance);
        }
        self.record_survival(now, &record.instance);
        self.release_held_models(&record.service, &record.models);
        let engine = self
            .engines
            .engines
            .entry(record.instance.clone())
            .or_default();
        engine.handle_announcement(now, &record.models, &record.in_memory, &record.on_disk);
        self.registry
            .set_served_models(&record.instance, engine.served_models());
        if announced == AnnouncementOutcome::New {
            self.event(
                "instance-known",
                vec![
                    ("instance", record.instance.0.clone()),
                    ("service", record.service.0.clone()),
                    ("address", record.address.clone()),
                    ("draining", record.draining.to_string()),
                    ("software", record.software.as_str().to_owned()),
                ],
            );
        }
        announced
    }

    fn log_stale(&mut self, record: &InstanceRecord) {
        let pairs = vec![
            ("instance", record.instance.0.clone()),
            ("sequence", record.sequence.to_string()),
        ];
        self.event("announcement-late", pairs);
    }

    /// Returns whether a later incarnation of the instance is known or was removed recently.
    pub(crate) fn has_later_incarnation(&self, instance: &InstanceId) -> bool {
        if self.standby.get(instance).is_some() {
            return false;
        }
        let mut standby = self.standby.incarnations_of(instance);
        self.registry.has_later_incarnation(instance)
            || standby.any(|incarnation| instance.is_before(incarnation))
    }

    /// Removes earlier incarnations of an instance; the new one inherits their unanswered loads.
    fn remove_earlier_incarnations(&mut self, now: Timestamp, instance: &InstanceId) {
        self.origins.run_began(instance);
        let mut inherited = Vec::new();
        let standby = self.standby.incarnations_of(instance);
        let standby = standby
            .filter(|incarnation| incarnation.is_before(instance))
            .cloned();
        let mut earlier_incarnations: Vec<InstanceId> = standby.collect();
        earlier_incarnations.extend(self.registry.earlier_incarnations(instance));
        for earlier in earlier_incarnations {
            if let Some(engine) = self.engines.engines.get(&earlier) {
                inherited.extend(engine.loads_to_inherit(now));
            }
            self.attribute_crash_to_load(now, &earlier);
            self.remove_instance(&earlier, "reborn");
        }
        if !inherited.is_empty() {
            let engine = self.engines.engines.entry(instance.clone()).or_default();
            engine.inherit_loads(inherited);
        }
    }

    /// Returns the latest known incarnation of an instance.
    pub fn latest_incarnation(&self, instance: &InstanceId) -> Option<InstanceId> {
        let standby = self.standby.incarnations_of(instance);
        let active = self.registry.latest_incarnation(instance).into_iter();
        let latest = active
            .chain(standby)
            .max_by_key(|incarnation| incarnation.incarnation());
        latest.cloned()
    }

    /// Applies a departure: the instance drains or has ended. Without recorded state, as on
    /// followers, only this member's share is updated: a new leader starts from the log.
    pub fn handle_departure(&mut self, instance: &InstanceId, ended: bool) {
        if ended {
            self.local_share.remove_ended(instance);
        }
        if !self.has_started_leading() && self.registry.get(instance).is_none() {
            return;
        }
        let pairs = vec![
            ("instance", instance.0.clone()),
            ("ended", ended.to_string()),
        ];
        self.event("instance-departs", pairs);
        self.idle_since.remove(instance);
        if ended {
            self.shares.remove(instance);
            self.engines.engines.remove(instance);
        }
        if let Some(mut record) = self.standby.remove(instance) {
            if !ended {
                record.draining = true;
                self.standby.insert(record);
            }
            if self.complete {
                // No gateway holds the instance: each holds only what this leader has sent.
                return;
            }
        }
        self.dirty = true;
        self.registry.apply_departure(instance, ended);
    }

    pub(crate) fn remove_instance(&mut self, instance: &InstanceId, reason: &str) {
        self.engines.engines.remove(instance);
        self.shares.remove(instance);
        self.idle_since.remove(instance);
        self.pace.remove(instance);
        let was_standby = self.standby.remove(instance).is_some();
        let was_active = self.registry.remove(instance);
        self.dirty |= was_active;
        if was_active || was_standby {
            let pairs = vec![
                ("instance", instance.0.clone()),
                ("reason", reason.to_owned()),
            ];
            self.event("instance-forgotten", pairs);
        }
    }

    /// Returns the number of instances known at this member.
    pub fn sizes(&self) -> FleetSizes {
        let (slowest, known_paces) = self.pace_summary();
        FleetSizes {
            known_paces,
            slowest_pace: (slowest * 100.0).round() as u32,
            stream_origins: self.origins.len(),
            dropped_origins: self.origins.dropped(),
            gateways_without_contact: self.gateways_without_contact(),
            local: self.local_share.len(),
            active: self.registry.len(),
            standby: self.standby.len(),
        }
    }

    /// Returns the active instances as sent to gateways.
    pub fn active_instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.registry.records()
    }

    /// Returns all instances known to the leader, active and standby.
    pub fn known_instances(&self) -> impl Iterator<Item = &InstanceId> {
        let active = self.registry.records().map(|record| &record.instance);
        active.chain(self.standby.instances())
    }
}
