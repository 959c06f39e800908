// Drives the stand-in registry with eureka-js-client, a published client that others wrote, and has our client read what
// that has registered, and that client see what ours has. Usage: node interop.js URL RUDDERLAB, with the package in
// NODE_PATH. Ends with 0 where every check held.
'use strict';
const { Eureka } = require('eureka-js-client');
const { execFile, spawn } = require('child_process');
const http = require('http');
const assert = require('assert');

const [url, rudderlab] = process.argv.slice(2);
const at = new URL(url);
const quiet = { error() {}, warn() {}, info() {}, debug() {} };
const patience = 20000;

const underWay = new Map(); // requests of each client that are not answered yet

function client(app, n, metadata) {
  const made = new Eureka({
    logger: quiet,
    instance: {
      app, instanceId: `js-${n}`, hostName: `js${n}.example`, ipAddr: `10.1.0.${n}`, vipAddress: 'js',
      port: { $: 7000 + n, '@enabled': true }, metadata,
      dataCenterInfo: { '@class': 'com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo', name: 'MyOwn' },
    },
    eureka: {
      host: at.hostname, port: at.port, servicePath: `${at.pathname}/apps/`, heartbeatInterval: 300,
      registryFetchInterval: 200, maxRetries: 3, requestRetryDelay: 200,
    },
    shouldUseDelta: true,
  });
  underWay.set(made, 0);
  const request = made.eurekaRequest.bind(made);
  made.eurekaRequest = (options, answered, ...more) => {
    underWay.set(made, underWay.get(made) + 1);
    request(options, (...answer) => {
      underWay.set(made, underWay.get(made) - 1);
      answered(...answer);
    }, ...more);
  };
  return made;
}

const start = (c) => new Promise((ok, no) => c.start((err) => (err ? no(err) : ok())));
// Theirs registers anew when a heartbeat that was under way at its stop comes after its farewell, and is answered 404. So the heartbeats
// end before it stops.
async function stop(c) {
  clearInterval(c.heartbeat);
  await until('its heartbeats are answered', () => underWay.get(c) === 0);
  await new Promise((ok, no) => { c.stop((err) => (err ? no(err) : ok())); });
}
const read = (...args) => new Promise((ok, no) => execFile(rudderlab, ['eurekad', 'read', '--address', url, ...args],
  (err, out, log) => (err ? no(new Error(`${err.message} ${log}`)) : ok(JSON.parse(out)))));
const post = (path) => new Promise((ok, no) => http.request({ host: at.hostname, port: at.port, path, method: 'POST' },
  (res) => { res.resume(); res.on('end', () => (res.statusCode === 200 ? ok() : no(new Error(`${path}: ${res.statusCode}`)))); })
  .on('error', no).end());

async function until(what, is) {
  const end = Date.now() + patience;
  while (!is()) {
    if (Date.now() > end) throw new Error(`never: ${what}`);
    await new Promise((ok) => { setTimeout(ok, 50); });
  }
}

let checks = 0;
function held(what) { checks += 1; console.log(`ok ${checks} ${what}`); }

async function main() {
  const one = client('js-nodes', 1, { zone: 'a', weight: '2.5', cell: 4, kind: 'm3' });
  const two = client('js-nodes', 2, { zone: 'b' });
  await start(one);
  const alone = await read('--app', 'js-nodes');
  assert.strictEqual(alone['js-1'].Address, '10.1.0.1:7001');
  held('our client reads the one instance that theirs registered');
  await start(two);
  for (const more of [[], ['--xml']]) {
    const list = await read('--app', 'js-nodes', '--until', '2', ...more);
    const { Zone, Weight, Cell, Kind, State, Started } = list['js-1'];
    assert.deepStrictEqual({ Zone, Weight, Cell, Kind, State }, { Zone: 'a', Weight: 2.5, Cell: 4, Kind: 'm3', State: 0 });
    assert.ok(Started > 0);
    assert.strictEqual(list['js-2'].Address, '10.1.0.2:7002');
    assert.strictEqual(list['js-2'].Zone, 'b');
    held(`our client reads both, with zone, weight, cell and kind${more.length ? ', as XML' : ''}`);
  }

  const ours = spawn(rudderlab, ['eurekad', 'show', '--address', url, '--app', 'balancers', '--id', 'b-1', '--host', '10.2.0.1',
    '--port', '8080', '--renew', '300ms'], { stdio: ['pipe', 'ignore', 'inherit'] });
  const ended = new Promise((ok) => { ours.on('exit', ok); });
  const seen = () => one.cache.app.BALANCERS || [];
  ours.stdin.write('up\n');
  await until('their client sees our balancer', () => seen().length === 1 && seen()[0].status === 'UP');
  assert.strictEqual(seen()[0].ipAddr, '10.2.0.1');
  assert.strictEqual(Number(seen()[0].port.$), 8080);
  assert.strictEqual(seen()[0].metadata.zone, 'lab');
  assert.strictEqual(one.getInstancesByVipAddress('balancers').length, 1);
  held('their client finds our balancer by app and by VIP');

  // Theirs passes over an ADDED instance that it holds, and takes UP alone: draining is seen by one that takes the whole
  // list each time, and all that is in it.
  const every = client('js-watch', 3, {});
  every.config.eureka.filterUpInstances = false;
  every.config.eureka.registerWithEureka = false;
  every.config.shouldUseDelta = false;
  await start(every);
  ours.stdin.write('drain\n');
  await until('draining is shown', () => (every.cache.app.BALANCERS || []).some((i) => i.status === 'OUT_OF_SERVICE'));
  held('their client sees it drain');

  // Forgotten by the registry, theirs and ours register anew by themselves.
  await post(`${at.pathname}/lab/forget`);
  const again = await read('--app', 'js-nodes', '--until', '2');
  assert.strictEqual(Object.keys(again).length, 2);
  await read('--app', 'balancers', '--until', '1');
  held('after the registry forgot all, both clients are there again');

  ours.stdin.write('leave\n');
  assert.strictEqual(await ended, 0);
  await read('--app', 'balancers', '--until', '0');
  held('our balancer has left');
  await stop(two);
  const left = await read('--app', 'js-nodes', '--until', '1');
  assert.deepStrictEqual(Object.keys(left), ['js-1']);
  await stop(one);
  await stop(every);
  await read('--app', 'js-nodes', '--until', '0');
  held('their instances have left');
  console.log(`all ${checks} checks held`);
}

main().then(() => process.exit(0), (err) => { console.error(`FAILED after ${checks} checks:`, err); process.exit(1); });
