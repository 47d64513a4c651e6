package org.bronzewheel.router;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.configuration.InvalidConfigurationException;
import org.bronzewheel.relay.ConfigurationReader;
import org.bronzewheel.relay.ConfigurationRefusal;
import org.bronzewheel.relay.ConfigurationService;

/** A configuration that is read directly. */
final class DirectConfigurationService implements ConfigurationService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final long WAIT_MILLIS = 20_000;
    private static final long RETRY_MILLIS = 200;

    private final ConfigurationReader reader;
    private final ConfigurationParser parser = new ConfigurationParser();
    private final BehaviorProcessor<Configuration> accepted = BehaviorProcessor.create();
    private volatile List<ConfigurationRefusal> refusals = List.of();
    private volatile long revision;
    private Disposable watch = Disposable.disposed();

    DirectConfigurationService(ConfigurationReader reader) {
        this.reader = reader;
    }

    @Override
    public void start() {
        watch =
                Maybe.defer(() -> reader.read(revision, WAIT_MILLIS))
                        .doOnSuccess(this::take)
                        .retryWhen(e -> e.delay(RETRY_MILLIS, TimeUnit.MILLISECONDS))
                        .repeat()
                        .subscribe();
    }

    private void take(ConfigurationDocument document) {
        revision = document.revision();
        try {
            accepted.onNext(parser.parse(document));
        } catch (InvalidConfigurationException e) {
            logger.atWarning().withCause(e).log("configuration %d was refused", revision);
            refusals =
                    List.of(new ConfigurationRefusal(revision, document.digest(), e.getMessage()));
        }
    }

    @Override
    public void stop() {
        watch.dispose();
    }

    @Override
    public Optional<Configuration> current() {
        return Optional.ofNullable(accepted.getValue());
    }

    @Override
    public Flowable<Configuration> changes() {
        return accepted.onBackpressureLatest();
    }

    @Override
    public List<ConfigurationRefusal> refusals() {
        return refusals;
    }
}
