//! The front role: terminates callers' requests, routes them, places each on a
//! replica, relays plain answers and event streams, and keeps the history and
//! the token budgets of programs through the store group.

pub mod access;
pub mod activity;
mod admission;
pub mod answer;
pub mod attempt;
pub mod beginnings;
pub mod body;
pub mod bootstrap;
pub mod engine_rates;
pub mod events;
pub mod fleet;
pub mod front;
pub mod handler;
pub mod health;
pub mod history;
mod line_pause;
mod list_report;
pub mod memory;
pub mod names;
mod offer;
pub mod pace;
pub mod placement;
pub mod prompt;
pub mod quota;
pub mod relay;
pub mod replica;
pub mod request;
pub mod rest;
pub mod server;
pub mod shares;
pub mod tenant_report;
pub mod turns;
mod unanswered;
pub mod upstream;

pub use front::{FrontListeners, FrontSettings, run};
pub use names::{Names, UrgencyScale};
