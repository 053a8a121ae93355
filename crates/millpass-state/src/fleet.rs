//! Backend commands: registration and state changes.

use crate::State;
use crate::backends::Registration;
use crate::refusal::Refusal;
use millpass_proto::{
    BackendKind, BackendMark, BackendName, BackendRegistration, BackendState, SlotId,
};

impl State {
    pub(crate) fn register_backend(
        &mut self,
        registration: &BackendRegistration,
    ) -> Result<(), Refusal> {
        match self.backends.classify(registration)? {
            Registration::Unchanged => return Err(Refusal::NoChange),
            Registration::Moved => self.backends.update_location(registration),
            Registration::NewIncarnation => {
                // The previous process has ended, and its memory and slots with it.
                self.release_backend(&registration.backend);
                self.routes.remove_web(&registration.backend);
                self.backends.start_incarnation(registration);
            }
        }
        self.touch_routes_of(&registration.backend);
        Ok(())
    }

    pub(crate) fn mark_backend(&mut self, mark: &BackendMark) -> Result<(), Refusal> {
        let record = self.backends.running(&mark.backend, mark.incarnation)?;
        if record.backend.state == mark.state {
            return Err(Refusal::NoChange);
        }
        if mark.state == BackendState::Gone {
            self.release_backend(&mark.backend);
            self.routes.remove_web(&mark.backend);
            self.backends.set_state(&mark.backend, mark.state);
        } else {
            self.backends.set_state(&mark.backend, mark.state);
            self.touch_routes_of(&mark.backend);
        }
        Ok(())
    }

    fn touch_routes_of(&mut self, name: &BackendName) {
        let Some(record) = self.backends.get(name) else {
            return;
        };
        let registration = &record.backend.registration;
        if registration.kind == BackendKind::Web && registration.group.is_some() {
            self.routes.touch_web(name);
        }
        let slots: Vec<SlotId> = record.slots.iter().copied().collect();
        for slot in slots {
            self.routes.touch_live_slot(slot);
        }
    }
}
