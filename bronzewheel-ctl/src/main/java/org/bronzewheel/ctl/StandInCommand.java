package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.standin.PlatformStandIn;
import org.bronzewheel.standin.StandInFleet;
import org.bronzewheel.vm.Vm;

/** The subcommand that runs the stand-ins as a process of their own. */
@Parameters(
        commandDescription =
                "Runs stand-ins for the platform and for each upstream of an inventory until it"
                        + " is ended. Prints their addresses as one JSON line. Switches:"
                        + " PUT /admin/faults on each, PUT /admin/configuration and"
                        + " PUT /admin/vms on the platform, GET /admin/ledger on each upstream.")
final class StandInCommand extends HelpFlag {
    @ParametersDelegate private final ConfigurationFlags configuration = new ConfigurationFlags();

    @Parameter(names = "--host", description = "The IP number that the platform listens on.")
    private String host = "127.0.0.1";

    @Parameter(
            names = "--platform-port",
            description = "The port that the platform listens on, 0 for any.")
    private int platformPort;

    @Parameter(
            names = "--any-port",
            description = "Upstreams listen on any free port instead of that of the inventory.")
    private boolean anyPort;

    @Parameter(
            names = "--router-vm",
            converter = RouterVmConverter.class,
            splitter = WholeValueSplitter.class,
            description =
                    "A router in the VM list: vmId,failureDomain,peerAddress,httpAddress;"
                            + " may be repeated.")
    private List<Vm> routerVms = new ArrayList<>();

    @Override
    public int run(PrintStream out, PrintStream err) {
        Vertx vertx = Vertx.vertx();
        ConfigurationDocument document = configuration.read();
        Inventory inventory = new ConfigurationParser().parse(document).inventory();
        StandInFleet upstreams = new StandInFleet(vertx, inventory, anyPort);
        PlatformStandIn platform = new PlatformStandIn(vertx, host, platformPort);
        upstreams.start();
        platform.start();
        publish(platform, document, inventory, upstreams);
        out.println(addresses(platform, upstreams));
        out.flush();
        waitForEnd();
        return OK;
    }

    private void publish(
            PlatformStandIn platform,
            ConfigurationDocument document,
            Inventory inventory,
            StandInFleet upstreams) {
        ConfigurationDocument served = Documents.withAddresses(document, upstreams.addresses());
        platform.publishConfiguration(served.inventoryText(), served.rulesText());
        platform.publishVms(VmLists.of(inventory, routerVms));
    }

    private static ObjectNode addresses(PlatformStandIn platform, StandInFleet upstreams) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("platform", platform.address());
        json.set("upstreams", new ObjectMapper().valueToTree(new TreeMap<>(upstreams.addresses())));
        return json;
    }

    private static void waitForEnd() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
