//! The real programs as processes on loopback addresses, with the stand-ins around them.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{ClientRequest, ask};
use crate::platform::Platform;
use crate::record::Record;
use crate::replica::{Handler, Replica};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const CONTROL_PORT: u16 = 8144;
const INNER_PORT: u16 = 7380;
const PLATFORM_PORT: u16 = 8142;
const REPLICA_PORT: u16 = 8080;
const PLATFORM_HOST: u8 = 200;
const FRONT_HOSTS: u8 = 10;
const STORE_HOSTS: u8 = 50;
const REPLICA_HOSTS: u8 = 100;
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a case is given up.
const CASE_TIMEOUT: Duration = Duration::from_secs(118);
/// Option of `prctl`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const MAX_ADDRESS_ATTEMPTS: u32 = 50;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Runs a case in its folder, and ends the process with the exit code of the verdict.
pub fn run_case(folder: &str, case: impl FnOnce(&Record, bool) -> io::Result<Verdict>) -> ! {
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(CASE_TIMEOUT);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let outcome = Record::create(&folder.join("record.txt"))
        .and_then(|record| case(&record, trouble).map(|verdict| (record, verdict)));
    let code = match outcome {
        Ok((record, Verdict::Held)) => {
            record.say("verdict: the rule held");
            0
        }
        Ok((record, Verdict::Broken)) => {
            record.say("verdict: the rule is broken");
            1
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(code)
}

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub fronts: u8,
    pub stores: u8,
    /// Machines with a disk that may be lost at once.
    pub losses: u8,
}

/// A replica to start, with what it does.
pub struct ReplicaPlan {
    pub id: String,
    pub service: &'static str,
    pub slots: usize,
    pub handler: Arc<Handler>,
}

/// A process of the project.
pub struct Process {
    pub node: String,
    pub ip: IpAddr,
    child: Child,
}

impl Process {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running deployment; its processes end when it is dropped.
pub struct Deployment {
    pub platform: Platform,
    pub fronts: Vec<Process>,
    pub stores: Vec<Process>,
    pub record: Record,
    prefix: [u8; 3],
    size: Size,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fronts.clear();
        self.stores.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts the stand-ins and the processes, and waits until requests are served.
    pub fn start(
        record: &Record,
        size: Size,
        configuration: &str,
        replicas: Vec<ReplicaPlan>,
    ) -> io::Result<Self> {
        let prefix = free_prefix()?;
        let folder = std::env::temp_dir().join(format!("stageyoke-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            platform: Platform::default(),
            fronts: Vec::new(),
            stores: Vec::new(),
            record: record.clone(),
            prefix,
            size,
            folder,
        };
        deployment
            .platform
            .serve(deployment.socket(PLATFORM_HOST, PLATFORM_PORT))?;
        deployment.platform.put("op/config", configuration);
        for (number, plan) in replicas.into_iter().enumerate() {
            let replica = Replica {
                id: plan.id,
                service: plan.service,
                zone: zone(number),
                address: deployment.socket(REPLICA_HOSTS + number as u8, REPLICA_PORT),
                slots: plan.slots,
                record: record.clone(),
            };
            replica.serve(plan.handler)?;
            let key = format!("servers/{}", replica.id);
            deployment.platform.put(&key, &replica.entry());
        }
        for number in 0..size.stores {
            let process = deployment.spawn("store", STORE_HOSTS, number)?;
            deployment.stores.push(process);
        }
        for number in 0..size.fronts {
            let process = deployment.spawn("front", FRONT_HOSTS, number)?;
            deployment.fronts.push(process);
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn socket(&self, host: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.prefix;
        SocketAddr::from((Ipv4Addr::new(a, b, c, host), port))
    }

    /// Returns the address at which a front takes clients' connections.
    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[number].ip, FRONT_PORT)
    }

    /// Starts a process with the command of the deploy file.
    fn spawn(&self, role: &str, hosts: u8, number: u8) -> io::Result<Process> {
        let ip = self.socket(hosts + number, 0).ip();
        let node = format!("{role}-{}-{}", zone(number.into()), number / 3 + 1);
        let data = self.folder.join(&node);
        fs::create_dir_all(&data)?;
        let settings = self.folder.join(format!("{node}.json"));
        let zone = zone(number.into());
        fs::write(&settings, self.settings(role, &node, ip, &zone, &data))?;
        let log = self.folder.join(format!("{node}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program()?);
        // SAFETY: a system call that is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args([role, "--metrics-port", "9464"])
            .env_clear()
            .env("STAGEYOKE_BOOT", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        let id = child.id();
        self.record
            .line(&format!("START {node} at {ip}, process {id}"));
        Ok(Process { node, ip, child })
    }

    fn settings(&self, role: &str, node: &str, ip: IpAddr, zone: &str, data: &Path) -> String {
        let is_front = role == "front";
        let listen = match is_front {
            true => format!(r#"{{"Front":"{ip}:{FRONT_PORT}","Ready":"{ip}:{READY_PORT}"}}"#),
            false => format!(r#"{{"Control":"{ip}:{CONTROL_PORT}"}}"#),
        };
        let serves = if is_front {
            r#""front""#
        } else {
            r#""store","control""#
        };
        let data = match is_front {
            true => "null".to_owned(),
            false => format!("{:?}", data.display().to_string()),
        };
        let seeds = (0..self.size.stores.min(3)).map(|number| {
            let seed = self.socket(STORE_HOSTS + number, CONTROL_PORT);
            format!("\"{seed}\"")
        });
        let seeds: Vec<String> = seeds.collect();
        let (seeds, losses) = (seeds.join(","), self.size.losses);
        let memory = if is_front { 220 } else { 230 };
        let platform = self.socket(PLATFORM_HOST, PLATFORM_PORT);
        format!(
            r#"{{"Node":"{node}","Role":"{role}","MachineClass":"{role}","Serves":[{serves}],
"Ip":"{ip}","Zone":"{zone}","Region":"here","Zones":{{"hall-a":"here","hall-b":"here","hall-c":"here"}},
"Listen":{listen},"InnerPortRange":[{INNER_PORT},7395],"Seeds":[{seeds}],"Bootstrap":true,
"LossCounts":{loss_counts},"Limits":{{"CpuShare":0.5,"Cores":1,"MemoryMb":{memory},"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":350}},
"DataDir":{data},"Discovery":"platform","Entry":"vip","BeatIntervalMs":1200,
"Contracts":["base","drain","config","cost","recover","agent","stream","engine","platform"],
"FaultTolerance":{{"Machines":{losses},"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4.3,"DrainMs":2000,
"GraceS":8,"LossSlackMs":200,"ConfigMs":2000,"RollbackSlackMs":250,"OuterMs":5000,"RecoveryS":12,
"PassMs":120,"RetryS":0,"FinishS":10,"SettleMs":1000}},
"Platform":{{"Addr":"{platform}","form":"kv","writes_per_s":400,"reads_per_s":2000,"HistoryS":20,
"value_bytes":1048576,"ttl_min_ms":1000}}}}"#,
            loss_counts = !is_front,
        )
    }

    /// Waits until each front says that it is ready and the groups of stores are formed.
    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until {
            let fronts = self.fronts.iter();
            let mut ready = fronts.map(|front| is_ready(SocketAddr::new(front.ip, READY_PORT)));
            if self.platform.has("stageyoke/stores") && ready.all(|ready| ready) {
                // What the stores have formed reaches all processes.
                std::thread::sleep(Duration::from_millis(1500));
                self.record.line("READY");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the deployment did not become ready"))
    }

    /// Copies the processes' logs to a folder if the environment variable `LOGS` names one.
    pub fn keep_logs(&self) {
        let Ok(target) = std::env::var("LOGS") else {
            return;
        };
        let _ = fs::create_dir_all(&target);
        for process in self.fronts.iter().chain(&self.stores) {
            let log = format!("{}.log", process.node);
            let _ = fs::copy(self.folder.join(&log), Path::new(&target).join(&log));
        }
    }
}

/// Returns whether a front says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    ask(
        address,
        &ClientRequest::new("GET", "/-/readiness", "ready", 500),
    )
    .status
        == 200
}

/// Returns the zone of the machine with this number.
fn zone(number: usize) -> String {
    ["hall-a", "hall-b", "hall-c"][number % 3].to_owned()
}

/// Returns the first three numbers of loopback addresses that nobody uses.
fn free_prefix() -> io::Result<[u8; 3]> {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let seed = since.map_err(io::Error::other)?.subsec_nanos() ^ std::process::id();
    for attempt in 0..MAX_ADDRESS_ATTEMPTS {
        let drawn = seed
            .wrapping_mul(2_654_435_761)
            .wrapping_add(attempt * 7919);
        let prefix = [127, 64 + (drawn >> 8) as u8 % 128, (drawn >> 16) as u8];
        let [a, b, c] = prefix;
        let address = |host, port| SocketAddr::from((Ipv4Addr::new(a, b, c, host), port));
        let used = [
            address(PLATFORM_HOST, PLATFORM_PORT),
            address(FRONT_HOSTS, FRONT_PORT),
            address(STORE_HOSTS, INNER_PORT),
            address(REPLICA_HOSTS, REPLICA_PORT),
        ];
        let is_free = |address: &SocketAddr| {
            TcpStream::connect_timeout(address, Duration::from_millis(50)).is_err()
                && TcpListener::bind(address).is_ok()
        };
        if used.iter().all(is_free) {
            return Ok(prefix);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

/// Returns the program that the deploy file builds.
fn program() -> io::Result<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let program = root.join("target/release/stageyoke-serve");
    match program.exists() {
        true => Ok(program),
        false => Err(io::Error::other(
            "target/release/stageyoke-serve is missing",
        )),
    }
}
