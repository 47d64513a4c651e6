package org.bronzewheel.demo;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.ctl.Documents;
import org.bronzewheel.ctl.VmLists;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.router.Router;
import org.bronzewheel.router.RouterSettings;
import org.bronzewheel.service.Service;
import org.bronzewheel.standin.Faults;
import org.bronzewheel.standin.PlatformStandIn;
import org.bronzewheel.standin.Run;
import org.bronzewheel.standin.StandInFleet;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** The stand-ins and the routers of the demo, over loopback sockets in one process. */
final class DemoCluster implements Service {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long BALANCER_WAIT_MILLIS = 500;

    private final PlatformStandIn platform;
    private final StandInFleet upstreams;
    private final ConfigurationDocument document;
    private final Map<String, Router> routers = new LinkedHashMap<>();
    private final Map<String, RouterSettings> settingsByVm = new ConcurrentHashMap<>();
    private final Map<String, Vm> vms = new LinkedHashMap<>();
    private Configuration configuration;

    DemoCluster(Vertx vertx, ConfigurationDocument document) {
        this.document = document;
        this.platform = new PlatformStandIn(vertx, LOOPBACK, 0);
        this.configuration = new ConfigurationParser().parse(document);
        this.upstreams = new StandInFleet(vertx, configuration.inventory(), true);
    }

    @Override
    public void start() {
        upstreams.start();
        platform.start();
        ConfigurationDocument served = Documents.withAddresses(document, upstreams.addresses());
        configuration = new ConfigurationParser().parse(served);
        platform.publishConfiguration(served.inventoryText(), served.rulesText());
        VmLists.of(configuration.inventory(), List.of()).forEach(vm -> vms.put(vm.vmId(), vm));
    }

    @Override
    public void stop() {
        List.copyOf(routers.keySet()).forEach(this::kill);
        upstreams.stop();
        platform.stop();
    }

    Configuration configuration() {
        return configuration;
    }

    List<Run> runs() {
        return upstreams.ledger().runs();
    }

    /** Starts a router and puts it into the VM list; returns its address for callers. */
    String startRouter(String vmId, String failureDomain) {
        int[] ports = freePorts(2);
        String httpAddress = LOOPBACK + ":" + ports[0];
        String peerAddress = LOOPBACK + ":" + ports[1];
        RouterSettings settings =
                RouterSettings.of(
                                vmId,
                                failureDomain,
                                LOOPBACK,
                                ports[0],
                                ports[1],
                                platform.address(),
                                platform.address())
                        .withBalancerWaitMillis(BALANCER_WAIT_MILLIS);
        publish(new Vm(vmId, VmRole.ROUTER, VmState.LIVE, failureDomain, peerAddress, httpAddress));
        settingsByVm.put(vmId, settings);
        restart(vmId);
        return httpAddress;
    }

    /** Starts a router anew on its VM, without memory. */
    void restart(String vmId) {
        Router router = new Router(settingsByVm.get(vmId));
        router.start();
        synchronized (routers) {
            routers.put(vmId, router);
        }
    }

    boolean allReady() {
        synchronized (routers) {
            return routers.values().stream().allMatch(Router::isReady);
        }
    }

    /** Ends a router without notice; the VM list still shows it. */
    void kill(String vmId) {
        remove(vmId).kill();
    }

    /** Stops a router as planned; the VM list shows it as leaving meanwhile. */
    void drain(String vmId) {
        publishState(vmId, VmState.LEAVING);
        remove(vmId).stop();
        unlist(vmId);
    }

    void unlist(String vmId) {
        synchronized (vms) {
            vms.remove(vmId);
            platform.publishVms(new ArrayList<>(vms.values()));
        }
    }

    /** Lets an upstream leave: it says so, and the VM list shows it a little later. */
    void leave(Upstream upstream) {
        upstreams.upstream(upstream.name()).setFaults(Faults.NONE.withLeaving(true));
        publishState(upstream.vmId(), VmState.LEAVING);
    }

    private Router remove(String vmId) {
        synchronized (routers) {
            return routers.remove(vmId);
        }
    }

    private void publishState(String vmId, VmState state) {
        Vm vm;
        synchronized (vms) {
            vm = vms.get(vmId);
        }
        publish(
                new Vm(
                        vm.vmId(),
                        vm.role(),
                        state,
                        vm.failureDomain(),
                        vm.peerAddress(),
                        vm.httpAddress()));
    }

    private void publish(Vm vm) {
        synchronized (vms) {
            vms.put(vm.vmId(), vm);
            platform.publishVms(new ArrayList<>(vms.values()));
        }
    }

    /** Finds ports that are free now; the routers' peers must know them before they listen. */
    private static int[] freePorts(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                ports[i] = socket.getLocalPort();
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return ports;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
