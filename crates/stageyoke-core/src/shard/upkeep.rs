//! What a leader closes by itself: calls whose gateway is lost, and programs
//! whose time is over.

use stageyoke_types::{NodeId, RequestId, Time};

use super::{ShardOutput, ShardReplica, reply};
use crate::message::ReplyBody;
use crate::program::{AbandonCall, AbandonCause, CallState, Command, EndReason};

/// How often a leader looks for what has expired, in milliseconds.
const SWEEP_PERIOD_MS: Time = 1_000;
/// How often expired outcomes are forgotten, in milliseconds.
const EXPIRE_PERIOD_MS: Time = 30_000;

impl ShardReplica {
    /// Closes what has run out of time or lost its gateway; for leaders with
    /// programs, about once a second.
    pub fn sweep(
        &mut self,
        now: Time,
        gateway_runs: &dyn Fn(NodeId, RequestId) -> bool,
        output: &mut Vec<ShardOutput>,
    ) {
        if now < self.next_sweep_at || !self.is_ready_leader() {
            return;
        }
        self.next_sweep_at = now + SWEEP_PERIOD_MS;
        let mut commands = self.commands_for_lost_gateways(now, gateway_runs);
        commands.extend(self.commands_for_expired_programs(now));
        if now >= self.next_expire_at && self.table.programs().next().is_some() {
            self.next_expire_at = now + EXPIRE_PERIOD_MS;
            commands.push(Command::Expire { now });
        }
        for command in commands {
            self.propose(command, now, output);
        }
        self.repeat_cancellations(output);
    }

    fn commands_for_lost_gateways(
        &self,
        now: Time,
        gateway_runs: &dyn Fn(NodeId, RequestId) -> bool,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        for (key, program) in self.table.programs() {
            for call in program.open_calls() {
                if !gateway_runs(call.gateway, call.request) {
                    commands.push(Command::Abandon(AbandonCall {
                        gateway: call.gateway,
                        request: call.request,
                        program: key.clone(),
                        cause: AbandonCause::GatewayLost,
                        now,
                    }));
                }
            }
        }
        commands
    }

    fn commands_for_expired_programs(&self, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        for (key, program) in self.table.programs() {
            if program.ended.is_some() {
                continue;
            }
            let limits = &program.limits;
            let idle = program.open_calls().next().is_none()
                && limits.idle_ms != 0
                && now > program.touched_at + limits.idle_ms;
            let late = limits.wall_ms != 0 && now > program.started_at + limits.wall_ms;
            let reason = match (late, idle) {
                (true, _) => EndReason::WallTime,
                (false, true) => EndReason::Idle,
                (false, false) => continue,
            };
            commands.push(Command::End {
                program: key.clone(),
                reason,
                now,
            });
        }
        commands
    }

    /// A cancellation may be lost, so it is repeated while the call is open.
    fn repeat_cancellations(&self, output: &mut Vec<ShardOutput>) {
        let ended = self
            .table
            .programs()
            .filter(|(_, program)| program.ended.is_some());
        for call in ended.flat_map(|(_, program)| program.open_calls()) {
            if call.state == CallState::Running {
                reply(call.gateway, call.request, ReplyBody::Cancel, output);
            }
        }
    }
}
