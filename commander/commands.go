package commander

// defaultCommands returns all sub-commands in the order in which the help lists them.
func (commander *Commander) defaultCommands() []command {
	return []command{
		commander.serveCommand(),
		commander.platformCommand(),
		commander.checkCommand(),
		commander.rulesCommand(),
		commander.routesCommand(),
		commander.statusCommand(),
		commander.drainCommand(),
		commander.heldOffCommand(),
		commander.dutiesCommand(),
		commander.announcedCommand(),
		commander.placesCommand(),
		commander.sharesCommand(),
		commander.lostCommand(),
		commander.predictedCommand(),
		commander.burnCommand(),
		commander.analyseCommand(),
		commander.demoCommand(),
		commander.loadCommand(),
		commander.standinCommand(),
		commander.versionCommand(),
	}
}
