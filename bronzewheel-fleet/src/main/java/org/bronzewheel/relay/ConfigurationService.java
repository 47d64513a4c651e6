package org.bronzewheel.relay;

import io.reactivex.rxjava3.core.Flowable;
import java.util.List;
import java.util.Optional;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.service.Service;

/** The accepted configuration of this router; its revision never decreases. */
public interface ConfigurationService extends Service {
    /**
     * Returns the configuration in force.
     *
     * @return the newest accepted one, or empty before the first
     */
    Optional<Configuration> current();

    /**
     * Returns the configurations as they come into force, beginning with the current one.
     *
     * @return configurations with growing revisions
     */
    Flowable<Configuration> changes();

    /**
     * Returns the newest refusals of documents.
     *
     * @return refusals, newest first, at most 16
     */
    List<ConfigurationRefusal> refusals();
}
