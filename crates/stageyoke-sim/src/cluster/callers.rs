//! What callers and operators do: submissions, queries, configurations.

use super::*;

impl Cluster {
    pub(super) fn accept_config(&mut self, machine: usize, version: u64) {
        use stageyoke_core::config_spread::{ConfigHead, SectionId};
        let content = format!("content of version {version}");
        let bundle = ConfigBundle {
            head: ConfigHead {
                version: stageyoke_types::ConfigVersion(version),
                apply_id: Text::from(format!("apply-{version}")),
                sections: vec![SectionId::of(&content)].into(),
            },
            contents: vec![Text::from(content)],
        };
        if self.machines[machine].node.is_some() {
            let version = bundle.head.version;
            self.observe(Observation::ConfigAccepted { version });
            self.input(machine, Input::OfferConfig(bundle));
        }
    }

    /// A caller sends a call through a machine. Returns none if it is down.
    pub fn submit(&mut self, index: usize, mut submission: CallSubmission) -> Option<OperationId> {
        self.machines[index].node.as_ref()?;
        self.next_request += 1;
        self.next_operation += 1;
        let operation = OperationId(self.next_operation);
        let life = self.machines[index].member_life;
        submission.request = RequestId::from_incarnation(life, self.next_request);
        let gateway = self.machines[index].id;
        self.operations
            .insert((gateway, submission.request), operation);
        let text = submission
            .messages
            .last()
            .map_or(String::new(), |message| message.content.to_string());
        self.observe(Observation::Submitted {
            operation,
            attempt_of: AttemptId {
                gateway,
                request: submission.request,
                attempt: stageyoke_types::Attempt(0),
            },
            program: submission.program.clone(),
            key: submission.idempotency_key.clone(),
            repeatable: submission.repeatable,
            text,
        });
        self.input(index, Input::Submit(Box::new(submission)));
        Some(operation)
    }

    /// A caller asks for a program's end or state through a machine.
    pub fn query(&mut self, index: usize, program: ProgramKey, end: bool) {
        if self.machines[index].node.is_none() {
            return;
        }
        self.next_request += 1;
        let request =
            RequestId::from_incarnation(self.machines[index].member_life, self.next_request);
        let gateway = self.machines[index].id;
        self.queries.insert((gateway, request), program.clone());
        if end {
            self.observe(Observation::EndRequested {
                program: program.clone(),
            });
            self.input(index, Input::EndProgram { request, program });
        } else {
            self.input(index, Input::ViewProgram { request, program });
        }
    }

    /// Drops from the engines what belongs to programs that have ended, as the
    /// daemons do: each held program is looked up, and released if not alive.
    pub fn sweep_engines(&mut self, alive: &dyn Fn(&ProgramKey) -> bool) {
        for engine in self.engines.values_mut() {
            engine.held.retain(|program| alive(program));
        }
    }
}
