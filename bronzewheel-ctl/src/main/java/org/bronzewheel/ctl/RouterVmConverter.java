package org.bronzewheel.ctl;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** Reads a router's entry in the VM list from a flag. */
final class RouterVmConverter implements IStringConverter<Vm> {
    private static final int PARTS = 4;

    @Override
    public Vm convert(String value) {
        String[] parts = value.split(",", -1);
        if (parts.length != PARTS) {
            throw new ParameterException(
                    "'" + value + "' is not vmId,failureDomain,peerAddress,httpAddress");
        }
        return new Vm(parts[0], VmRole.ROUTER, VmState.LIVE, parts[1], parts[2], parts[3]);
    }
}
