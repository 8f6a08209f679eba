//! The platform's services: the key-value service, and the list of machines.

pub mod config_source;
pub mod formation;
pub mod key_value;
pub mod machine_list;
